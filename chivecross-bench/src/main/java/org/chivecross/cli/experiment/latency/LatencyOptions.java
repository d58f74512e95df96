package org.chivecross.cli.experiment.latency;

import org.chivecross.logic.settings.AllowedRange;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of the latency measurement. Not thread-safe. */
final class LatencyOptions extends ProgramOptions {

  @Option(name = "--entry", metaVar = "HOST:PORT", usage = "entry to measure")
  private String entry = "127.0.0.1:8000";

  @Option(
      name = "--targets",
      required = true,
      metaVar = "HOST:PORT,...",
      usage = "targets behind the entry, called directly as the baseline")
  private String targets = "";

  @Option(name = "--path", metaVar = "PATH", usage = "path to read")
  private String path = "/read";

  @Option(name = "--connections", metaVar = "COUNT", usage = "load connections for each target")
  @AllowedRange(min = 1, max = 64)
  private int connections = 4;

  @Option(
      name = "--rate",
      metaVar = "PER-SECOND",
      usage = "requests a second on each side; 0 for half of the capacity measured first")
  @AllowedRange(min = 0, max = 1_000_000)
  private int rate;

  @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of the measured part")
  @AllowedRange(min = 1, max = 600)
  private int seconds = 10;

  @Option(name = "--warm-up-seconds", metaVar = "SECONDS", usage = "length of the warm-up")
  @AllowedRange(min = 0, max = 600)
  private int warmUpSeconds = 6;

  @Option(name = "--work-micros", metaVar = "MICROS", usage = "service time at the target")
  @AllowedRange(min = 0, max = 1_000_000)
  private int workMicros = 1_000;

  @Option(name = "--body-bytes", metaVar = "BYTES", usage = "length of each answer's body")
  @AllowedRange(min = 0, max = 1 << 20)
  private int bodyBytes = 512;

  String entry() {
    return entry;
  }

  String[] targets() {
    return targets.split(",", -1);
  }

  int connections() {
    return connections;
  }

  int rate() {
    return rate;
  }

  int seconds() {
    return seconds;
  }

  int warmUpSeconds() {
    return warmUpSeconds;
  }

  /** Returns the request that every call sends. */
  String request() {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: latency\r\nStandin-Work-Micros: "
        + workMicros
        + "\r\nStandin-Body-Bytes: "
        + bodyBytes
        + "\r\nChivecross-Request-Id: 1\r\n\r\n";
  }
}
