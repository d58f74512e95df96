package org.chivecross.cli.entry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.chivecross.cli.entry.http.DataPathSettings;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Checked settings of an entry. Immutable.
 *
 * @param listen address for callers
 * @param files directory of the file set
 * @param dataPath limits and time-outs of the data path
 */
record EntryPreferences(InetSocketAddress listen, Path files, DataPathSettings dataPath) {

  private static final int MAX_PORT = 65535;

  /** Checks the flags. */
  static Result<EntryPreferences> of(EntryOptions options) {
    return parseAddress("--listen", options.listen())
        .flatMap(
            listen ->
                Result.success(
                    new EntryPreferences(listen, options.files(), DataPathSettings.defaults())));
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
