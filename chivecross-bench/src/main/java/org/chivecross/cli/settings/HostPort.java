package org.chivecross.cli.settings;

/**
 * A listen address. Immutable.
 *
 * @param host host name or IP number
 * @param port port; 0 lets the system choose
 */
public record HostPort(String host, int port) {

  private static final int LARGEST_PORT = 65_535;

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException when the text has another form
   */
  public static HostPort parse(String text) {
    int cut = text.lastIndexOf(':');
    if (cut <= 0) {
      throw new IllegalArgumentException("got \"" + text + "\", allowed: HOST:PORT");
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(cut + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("got \"" + text + "\", allowed: HOST:PORT", e);
    }
    if (port < 0 || port > LARGEST_PORT) {
      throw new IllegalArgumentException("port " + port + ", allowed: 0 to " + LARGEST_PORT);
    }
    return new HostPort(text.substring(0, cut), port);
  }
}
