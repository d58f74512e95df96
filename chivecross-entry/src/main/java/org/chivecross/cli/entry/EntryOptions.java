package org.chivecross.cli.entry;

import java.nio.file.Path;
import org.chivecross.cli.entry.peer.PeerOptions;
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
