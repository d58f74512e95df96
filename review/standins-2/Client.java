import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client to an entry. Used by one thread at a time. */
final class Client implements AutoCloseable {

  static final String HOST = "jepu9.example";

  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;

  Client(Entry entry) throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getByName(entry.ip()), 8381), 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    out = socket.getOutputStream();
  }

  /** Returns a request without a body, or the head of one with a body of {@code length} bytes. */
  static byte[] request(String method, String path, String id, long deadlineMillis, int length) {
    String framing = length < 0 ? "" : "Content-Length: " + length + "\r\n";
    return (method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + HOST
            + "\r\nRequest-Id: "
            + id
            + "\r\nDeadline-Ms: "
            + deadlineMillis
            + "\r\n"
            + framing
            + "\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  void send(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  /** Reads the next response; returns null if the connection ends before it. */
  Http.Response receive(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return Http.readResponse(in);
  }

  Socket socket() {
    return socket;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }
}
