package org.chivecross.cli.experiment.latency;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.chivecross.cli.settings.HostPort;

/** HTTP keep-alive connection that makes one call at a time. Not thread-safe. */
final class LoadConnection implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String CONTENT_LENGTH_PREFIX = "content-length:";

  private final Socket socket;
  private final InputStream in;
  private final byte[] request;

  LoadConnection(String address, String request) throws IOException {
    HostPort parsed = HostPort.parse(address);
    socket = new Socket(parsed.host(), parsed.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
    this.request = request.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Sends the request and reads the whole response.
   *
   * @return HTTP status
   * @throws IOException if the connection breaks
   */
  int call() throws IOException {
    socket.getOutputStream().write(request);
    String statusLine = readLine();
    long length = 0;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH_PREFIX)) {
        length = Long.parseLong(line.substring(CONTENT_LENGTH_PREFIX.length()).strip());
      }
    }
    in.skipNBytes(length);
    return Integer.parseInt(statusLine.substring(9, 12));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder(48);
    while (true) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException("connection closed by the peer before the end of the response head");
      }
      if (b == '\n') {
        return line.toString();
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
  }
}
