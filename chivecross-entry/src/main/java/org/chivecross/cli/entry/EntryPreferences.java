package org.chivecross.cli.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.chivecross.cli.entry.admin.AdminSettings;
import org.chivecross.cli.entry.http.DataPathSettings;
import org.chivecross.cli.entry.peer.PeerSettings;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Validated settings of an entry. Immutable.
 *
 * @param listen address for callers
 * @param files directory of the file set, used without a platform
 * @param dataPath limits and time-outs of the data path
 * @param admin settings of the administration API
 * @param peers settings for the connection to the platform and to other entries
 */
record EntryPreferences(
    InetSocketAddress listen,
    Path files,
    DataPathSettings dataPath,
    AdminSettings admin,
    PeerSettings peers) {

  private static final int MAX_PORT = 65535;
  private static final int DEFAULT_ADMIN_PORT = 8001;

  /** Validates the flags. */
  static Result<EntryPreferences> of(EntryOptions options) {
    return parseAddress("--listen", options.listen())
        .flatMap(
            listen ->
                admin(options, listen)
                    .flatMap(
                        admin ->
                            PeerSettings.of(options)
                                .flatMap(peers -> combine(options, listen, admin, peers))));
  }

  private static Result<EntryPreferences> combine(
      EntryOptions options, InetSocketAddress listen, AdminSettings admin, PeerSettings peers) {
    return Result.success(
        new EntryPreferences(listen, options.files(), options.dataPath(), admin, peers));
  }

  private static Result<AdminSettings> admin(EntryOptions options, InetSocketAddress listen) {
    Result<InetSocketAddress> address =
        options.adminListen().isEmpty()
            ? Result.success(defaultAdminAddress(listen))
            : parseAddress("--admin-listen", options.adminListen());
    return address.flatMap(listenAdmin -> AdminSettings.of(listenAdmin, options.adminToken()));
  }

  private static InetSocketAddress defaultAdminAddress(InetSocketAddress listen) {
    int port = listen.getPort() == 0 ? 0 : DEFAULT_ADMIN_PORT;
    InetAddress host = listen.getAddress();
    return host != null && host.isLoopbackAddress()
        ? new InetSocketAddress(host, port)
        : new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static Result<InetSocketAddress> parseAddress(String flag, String text) {
    int colon = text.lastIndexOf(':');
    int port = colon <= 0 ? -1 : parsePort(text.substring(colon + 1));
    if (port < 0) {
      return Result.failed(
          Step.SETTINGS,
          Failure.LOCAL,
          flag + ": got \"" + text + "\", allowed: HOST:PORT with a port from 0 to " + MAX_PORT);
    }
    return Result.success(new InetSocketAddress(text.substring(0, colon), port));
  }

  private static int parsePort(String text) {
    try {
      int port = Integer.parseInt(text);
      return port <= MAX_PORT ? port : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
