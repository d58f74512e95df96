package org.chivecross.cli.settings;

/**
 * A host and a port. Immutable.
 *
 * @param host host name or IP number
 * @param port port; 0 selects a free port when listening
 */
public record HostPort(String host, int port) {

  private static final int LARGEST_PORT = 65_535;

  /**
   * Parses {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has another form or the port is out of range
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("got \"" + text + "\", allowed: HOST:PORT");
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("got \"" + text + "\", allowed: HOST:PORT", e);
    }
    if (port < 0 || port > LARGEST_PORT) {
      throw new IllegalArgumentException("port " + port + ", allowed: 0 to " + LARGEST_PORT);
    }
    return new HostPort(text.substring(0, colon), port);
  }
}
