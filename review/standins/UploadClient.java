import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.function.UnaryOperator;

/** A client that sends bodies and keeps its connection. Stateless. */
final class UploadClient {

  /** What a client saw of one upload; status 0: its connection ended, -2: no answer in time. */
  record Upload(
      String id, String entry, boolean kept, double began, double ended, int status, String detail) {}

  private static final int UPLOAD_MILLIS = 1_100;
  private static final int PACED_BYTES = 100_000;
  private static final int DEADLINE = 6_000;

  private UploadClient() {}

  /**
   * Sends one request after the other until a time; a large body at the speed of a mobile link.
   *
   * @param route first part of the path
   * @param link address at which the client reaches an entry
   */
  static void run(
      Site site,
      int number,
      String route,
      int bodyBytes,
      double end,
      UnaryOperator<String> link,
      Queue<Upload> results) {
    Random random = new Random(number);
    List<String> addresses = new ArrayList<>();
    double until = 0;
    Socket socket = null;
    String entry = "";
    boolean kept = false;
    try {
      Thread.sleep(random.nextInt(1_500));
      for (int sent = 0; site.record.seconds() < end; sent++) {
        if (site.record.seconds() >= until || addresses.isEmpty()) {
          for (Entry asked : site.entries) {
            List<String> found = Caller.resolve(asked.ip(), Site.zone(number));
            if (!found.isEmpty()) {
              addresses = new ArrayList<>(found);
              until = site.record.seconds() + 3;
              break;
            }
          }
        }
        if (socket == null) {
          if (addresses.isEmpty()) {
            Thread.sleep(100);
            continue;
          }
          entry = addresses.get(random.nextInt(addresses.size()));
          socket = new Socket();
          kept = false;
          try {
            socket.connect(new InetSocketAddress(link.apply(entry), Net.CALLERS), 1_000);
          } catch (IOException e) {
            addresses.remove(entry);
            socket = null;
            continue;
          }
        }
        Upload upload = upload(site, "%s%d-%d".formatted(route, number, sent), route, entry, kept, socket, bodyBytes);
        results.add(upload);
        site.record.add("answer " + upload);
        kept = upload.status() > 0;
        if (!kept) {
          close(socket);
          socket = null;
        }
        Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 500));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(socket);
    }
  }

  private static void close(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Sends a body at the speed of a mobile link. */
  private static Upload upload(
      Site site,
      String id,
      String route,
      String entry,
      boolean kept,
      Socket socket,
      int bodyBytes)
      throws InterruptedException {
    double began = site.record.seconds();
    int status;
    String detail;
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(DEADLINE);
      OutputStream out = socket.getOutputStream();
      String head =
          "POST /%s/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
              + "Content-Length: %d\r\n\r\n";
      out.write(
          head.formatted(route, id, id, DEADLINE, bodyBytes).getBytes(StandardCharsets.ISO_8859_1));
      int parts = bodyBytes < PACED_BYTES ? 1 : 50;
      byte[] part = new byte[bodyBytes / parts];
      int left = bodyBytes;
      while (left > 0) {
        int next = Math.min(part.length, left);
        out.write(part, 0, next);
        left -= next;
        if (parts > 1) {
          Thread.sleep(UPLOAD_MILLIS / parts);
        }
      }
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http answer = Http.readHead(in);
      if (answer == null) {
        status = 0;
        detail = "closed without an answer";
      } else {
        answer.skipBody(in);
        status = answer.status();
        detail = answer.headers.getOrDefault("response-signature", "own answer");
      }
    } catch (SocketTimeoutException e) {
      status = -2;
      detail = "no answer until the deadline";
    } catch (IOException e) {
      status = 0;
      detail = e.toString();
    }
    return new Upload(id, entry, kept, began, site.record.seconds(), status, detail);
  }
}
