package org.chivecross.cli.entry;

import java.nio.file.Path;
import org.chivecross.cli.entry.http.DataPathSettings;
import org.chivecross.cli.entry.peer.PeerOptions;
import org.chivecross.logic.settings.AllowedRange;
import org.kohsuke.args4j.Option;

/** Flags of {@code chivecross-entry}. Not thread-safe. */
final class EntryOptions extends PeerOptions {

  @Option(name = "--listen", metaVar = "HOST:PORT", usage = "address for callers")
  private String listen = "127.0.0.1:8000";

  @Option(
      name = "--files",
      metaVar = "DIR",
      usage = "directory of the file set that is served without --platform")
  private Path files = Path.of(".");

  @Option(
      name = "--admin-listen",
      metaVar = "HOST:PORT",
      usage =
          "address of the administration API; default: port 8001 on the host of --listen if that"
              + " is loopback, otherwise on 127.0.0.1")
  private String adminListen = "";

  @Option(
      name = "--admin-token",
      metaVar = "TOKEN",
      usage =
          "bearer token for the administration API, 16 to 256 printable ASCII characters; required"
              + " unless its address is loopback; prefer the environment variable, since flags are"
              + " visible in process lists")
  private String adminToken = "";

  @Option(
      name = "--max-head-bytes",
      metaVar = "BYTES",
      usage = "maximum size of a request head in bytes")
  @AllowedRange(min = 1024, max = 1 << 20)
  private int maxHeadBytes = 16 * 1024;

  @Option(
      name = "--max-headers",
      metaVar = "COUNT",
      usage = "maximum number of header lines of a request")
  @AllowedRange(min = 8, max = 1000)
  private int maxHeaders = 100;

  @Option(
      name = "--max-body-bytes",
      metaVar = "BYTES",
      usage = "maximum size of a request body in bytes")
  @AllowedRange(min = 0, max = 1L << 50)
  private long maxBodyBytes = 4L << 30;

  @Option(
      name = "--header-timeout-ms",
      metaVar = "MS",
      usage = "time within which a request head must be complete")
  @AllowedRange(min = 100, max = 600_000)
  private int headerTimeoutMillis = 5_000;

  @Option(
      name = "--idle-timeout-ms",
      metaVar = "MS",
      usage = "time after which an idle connection of a caller or to a target is closed")
  @AllowedRange(min = 100, max = 3_600_000)
  private int idleTimeoutMillis = 60_000;

  @Option(
      name = "--connect-timeout-ms",
      metaVar = "MS",
      usage = "time within which a connection to a target must be open")
  @AllowedRange(min = 10, max = 60_000)
  private int connectTimeoutMillis = 250;

  @Option(
      name = "--recent-life-ms",
      metaVar = "MS",
      usage = "time since its last answer up to which an idle connection may be used for a write")
  @AllowedRange(min = 0, max = 60_000)
  private int recentActivityMillis = 500;

  /** Returns the limits and time-outs of the data path. */
  DataPathSettings dataPath() {
    return new DataPathSettings(
        maxHeadBytes,
        maxHeaders,
        maxBodyBytes,
        headerTimeoutMillis,
        idleTimeoutMillis,
        connectTimeoutMillis,
        recentActivityMillis);
  }

  String listen() {
    return listen;
  }

  Path files() {
    return files;
  }

  String adminListen() {
    return adminListen;
  }

  String adminToken() {
    return adminToken;
  }
}
