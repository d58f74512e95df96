import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sends requests as PROTOCOL.md says that clients do. Safe for use by many threads. */
final class Caller {

  /** What a client saw of one request; status 0: the connection ended without a whole answer. */
  record Result(String id, String entry, double sent, double ended, int status, String detail) {}

  private static final Pattern ADDRESS = Pattern.compile("\"(127\\.[0-9.]+):\\d+\"");

  private final Record record;

  Caller(Record record) {
    this.record = record;
  }

  /** Asks the directory of one entry; returns the addresses, or none if it did not answer. */
  static List<String> resolve(String entry, String zone) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry, Net.DIRECTORY), 1_000);
      socket.setSoTimeout(1_000);
      String text =
          "GET /-/resolve?name=h.example&region=r&zone="
              + zone
              + " HTTP/1.1\r\nHost: "
              + entry
              + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      String answer =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      List<String> found = new ArrayList<>();
      if (answer.startsWith("HTTP/1.1 200")) {
        Matcher matcher = ADDRESS.matcher(answer);
        while (matcher.find()) {
          found.add(matcher.group(1));
        }
      }
      return found;
    } catch (IOException e) {
      return List.of();
    }
  }

  /** Sends one request on a new connection and waits for its answer until the deadline. */
  Result send(
      String id, String entry, String method, String path, int bodyBytes, int deadlineMillis) {
    double began = record.seconds();
    double sent = began;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      try {
        socket.connect(new InetSocketAddress(entry, Net.CALLERS), 1_000);
      } catch (IOException e) {
        return ended(id, entry, began, -1, "not connected: " + e.getMessage());
      }
      socket.setSoTimeout(deadlineMillis);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
              + id
              + "\r\nDeadline-Ms: "
              + deadlineMillis
              + "\r\n"
              + (method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "")
              + "\r\n";
      byte[] body = new byte[bodyBytes];
      new Random(id.hashCode()).nextBytes(body);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(body);
      sent = record.seconds();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http answer = Http.readHead(in);
      if (answer == null) {
        return ended(id, entry, sent, 0, "closed without an answer");
      }
      answer.skipBody(in);
      return ended(
          id,
          entry,
          sent,
          answer.status(),
          answer.headers.getOrDefault("response-signature", "own answer"));
    } catch (SocketTimeoutException e) {
      return ended(id, entry, sent, -2, "no answer until the deadline");
    } catch (IOException e) {
      return ended(id, entry, sent, 0, e.toString());
    }
  }

  private Result ended(String id, String entry, double sent, int status, String detail) {
    Result result = new Result(id, entry, sent, record.seconds(), status, detail);
    record.add(
        "answer %s from %s status %d sent %.3f: %s".formatted(id, entry, status, sent, detail));
    return result;
  }
}
