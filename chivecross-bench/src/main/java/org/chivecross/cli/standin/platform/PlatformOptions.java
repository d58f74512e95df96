package org.chivecross.cli.standin.platform;

import java.nio.file.Path;
import org.chivecross.cli.settings.HostPort;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-standin platform}. Not thread-safe. */
public final class PlatformOptions extends ProgramOptions {

  @Option(
      name = "--packed",
      required = true,
      metaVar = "DIR",
      usage = "directory written by chivecross-check --pack; a changed manifest is published")
  private Path packed = Path.of(".");

  @Option(
      name = "--deployment",
      required = true,
      metaVar = "NAME",
      usage = "deployment of the file set")
  private String deployment = "";

  @Option(
      name = "--listen",
      metaVar = "HOST:PORT",
      usage = "address of the service and of /control; port 0 selects a free port")
  private String listen = "127.0.0.1:0";

  @Option(name = "--vms", metaVar = "FILE", usage = "JSON file with the list of VMs")
  private String vms = "";

  /** Creates options with their defaults. */
  public PlatformOptions() {}

  /** Returns the settings; throws {@link IllegalArgumentException} if the address is malformed. */
  PlatformSettings toSettings() {
    return new PlatformSettings(packed, deployment, HostPort.parse(listen), vms);
  }
}
