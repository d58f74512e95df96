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
      usage = "directory of the file set to serve without --platform")
  private Path files = Path.of(".");

  @Option(
      name = "--admin-listen",
      metaVar = "HOST:PORT",
      usage =
          "address of the administration API; without it port 8001 on the host of --listen when"
              + " that is loopback, and else on 127.0.0.1")
  private String adminListen = "";

  @Option(
      name = "--admin-token",
      metaVar = "TOKEN",
      usage =
          "bearer token for the administration API, 16 to 256 printable ASCII characters; needed"
              + " unless its address is loopback; prefer the variable, since flags show in process"
              + " lists")
  private String adminToken = "";

  @Option(name = "--max-head-bytes", metaVar = "BYTES", usage = "most bytes of a request head")
  @AllowedRange(min = 1024, max = 1 << 20)
  private int maxHeadBytes = 16 * 1024;

  @Option(name = "--max-headers", metaVar = "COUNT", usage = "most header lines of a request")
  @AllowedRange(min = 8, max = 1000)
  private int maxHeaders = 100;

  @Option(name = "--max-body-bytes", metaVar = "BYTES", usage = "most bytes of a request body")
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
      usage = "time after which an idle connection is closed, on both sides")
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
      usage = "age of the last answer up to which a write may use an idle connection")
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
