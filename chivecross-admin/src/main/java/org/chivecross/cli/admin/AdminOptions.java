package org.chivecross.cli.admin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.chivecross.logic.settings.AllowedForm;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-admin}. Not thread-safe. */
final class AdminOptions extends ProgramOptions {

  @Argument(
      metaVar = "COMMAND [NAME]",
      usage =
          "config, targets, members, services, tenants, decisions, key KEY, histograms [NAME], diff,"
              + " wait --version EPOCH.REVISION, explain REQUEST-ID LOG-FILE..., or"
              + " where --entry HOST:PORT --host HOST --path PATH")
  private List<String> command = new ArrayList<>();

  @AllowedForm(
      pattern = "[^,:\\s]+:[0-9]{1,5}(,[^,:\\s]+:[0-9]{1,5})*",
      allowed = "HOST:PORT of the administration API of each entry, joined by commas")
  @Option(
      name = "--admin-entries",
      metaVar = "HOST:PORT,...",
      usage = "administration addresses of the entries to read")
  private String entries = "127.0.0.1:8001";

  @Option(
      name = "--admin-token",
      metaVar = "TOKEN",
      usage = "bearer token; prefer the environment variable: process lists show flags")
  private String token = "";

  @AllowedForm(
      pattern = "[0-9]{1,18}(\\.[0-9]{1,18})?",
      allowed = "EPOCH.REVISION, or REVISION for epoch 0")
  @Option(
      name = "--config-version",
      metaVar = "EPOCH.REVISION",
      usage = "version that the wait command waits for; with wait, --version has the same meaning")
  private String configVersion = "0";

  @AllowedForm(pattern = "[1-9][0-9]{0,4}(ms|s|m)", allowed = "a time such as 500ms, 20s or 2m")
  @Option(name = "--timeout", metaVar = "TIME", usage = "maximum time that the wait command waits")
  private String timeout = "20s";

  @AllowedForm(
      pattern = "([^,:\\s/]+:[0-9]{1,5})?",
      allowed = "HOST:PORT of the metrics address of one entry")
  @Option(
      name = "--entry",
      metaVar = "HOST:PORT",
      usage = "metrics address of the entry that the where command asks")
  private String entry = "";

  @Option(
      name = "--host",
      metaVar = "HOST",
      usage = "host of the request that the where command explains")
  private String host = "";

  @Option(
      name = "--path",
      metaVar = "PATH",
      usage = "path of the request that the where command explains")
  private String path = "";

  @AllowedForm(pattern = "[0-9]{1,15}", allowed = "a number of bytes from 0")
  @Option(name = "--bytes", metaVar = "N", usage = "size of the body of that request, in bytes")
  private String bytes = "0";

  @AllowedForm(pattern = "([0-9]{1,15})?", allowed = "a number of milliseconds from 0")
  @Option(
      name = "--deadline-ms",
      metaVar = "N",
      usage = "time until the deadline of that request, in ms; the timeout of its route if absent")
  private String deadlineMillis = "";

  @Option(name = "--json", usage = "print JSON instead of tables")
  private boolean json;

  /** Returns the immutable preferences. */
  AdminPreferences toPreferences() {
    return new AdminPreferences(
        command,
        Arrays.asList(entries.split(",")),
        token,
        VersionText.parse(configVersion),
        TimeText.millis(timeout),
        new ExplainedRequest(entry, host, path, bytes, deadlineMillis),
        json);
  }
}
