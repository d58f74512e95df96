package org.chivecross.cli.load;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-load}. Not thread-safe. */
final class LoadOptions extends ProgramOptions {

  @Option(
      name = "--files",
      required = true,
      metaVar = "DIR",
      usage = "directory of the file set that defines the services and rules to call")
  private Path files = Path.of(".");

  @Option(
      name = "--entries",
      metaVar = "HOST:PORT,...",
      usage = "entries that callers ask for the directory first")
  private String entries = "127.0.0.1:8000";

  @Option(
      name = "--direct",
      usage = "send requests straight to the targets by round robin, as a baseline")
  private boolean direct;

  @Option(name = "--rate", metaVar = "PER-SECOND", usage = "requests started per second")
  private double rate = 200;

  @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of the run")
  private int seconds = 10;

  @Option(
      name = "--warm-up-seconds",
      metaVar = "SECONDS",
      usage = "time from the start of the run whose latencies are not recorded")
  private int warmUpSeconds = 3;

  @Option(
      name = "--callers",
      metaVar = "COUNT",
      usage = "number of callers, each with its own directory")
  private int callers = 20;

  @Option(
      name = "--mix",
      metaVar = "CLASS=SHARE,...",
      usage = "share of each request class, in percent")
  private String mix = "read=90,write=8,upload=2";

  @Option(
      name = "--work-micros",
      metaVar = "MICROS",
      usage = "mean service time at the target, exponentially distributed")
  private long workMicros = 4_000;

  @Option(name = "--body-bytes", metaVar = "BYTES", usage = "length of each response body")
  private long bodyBytes = 512;

  @Option(name = "--upload-bytes", metaVar = "BYTES", usage = "length of each upload body")
  private int uploadBytes = 64 * 1024;

  @Option(
      name = "--services",
      metaVar = "NAME,...",
      usage = "services to call; empty for all, in proportion to their slots")
  private String services = "";

  @Option(
      name = "--resends",
      metaVar = "COUNT",
      usage = "how often a request without a known outcome is resent, writes with the same key")
  private int resends = 1;

  @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of arrivals and service times")
  private long seed = 1;

  @Option(name = "--history", metaVar = "FILE", usage = "history file, one JSON line per event")
  private String history = "";

  @Option(name = "--plot", metaVar = "FILE", usage = "PNG file for the latency plot")
  private String plot = "";

  @Option(name = "--json", metaVar = "FILE", usage = "file for the report as JSON")
  private String json = "";

  /** Returns the options as an immutable record. */
  LoadPreferences toPreferences() {
    return new LoadPreferences(
        files,
        split(entries),
        direct,
        rate,
        seconds,
        warmUpSeconds,
        callers,
        mix,
        workMicros,
        bodyBytes,
        uploadBytes,
        split(services),
        resends,
        seed,
        new LoadOutputs(history, plot, json));
  }

  private static List<String> split(String text) {
    return Arrays.stream(text.split(",")).filter(part -> !part.isEmpty()).toList();
  }
}
