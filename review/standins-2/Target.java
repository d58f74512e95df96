import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a target that follows the pages; what it answers is up to a {@link Work}. */
final class Target {

  /** What a target does with a request that it runs. */
  interface Work {

    /** Works on a request and writes the whole response. */
    void run(Target target, Http.Head head, byte[] body, OutputStream out) throws IOException;
  }

  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final Work work;
  private final Record record;
  private final Store store;
  private final ServerSocket server;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<OutputStream, Socket> atWork = new ConcurrentHashMap<>();
  private final long bornMillis = System.currentTimeMillis();
  private int sequence;
  private volatile CountDownLatch darkness;
  private volatile boolean isRegistered = true;

  Target(
      String ip,
      String id,
      String service,
      String zone,
      int slots,
      Store store,
      Record record,
      Work work)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.store = store;
    this.record = record;
    this.work = work;
    free = new Semaphore(slots);
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    beat();
    Threads.daemon("target " + id, this::accept);
    Threads.daemon("beat " + id, this::beatRegularly);
  }

  String id() {
    return id;
  }

  /** Lets this target be silent on all its connections until the latch opens, and close them. */
  void goDark(CountDownLatch end) {
    darkness = end;
  }

  /** Does nothing in the light; in the dark, waits for its end, which ends the connection. */
  void awaitEndOfDarkness() throws IOException {
    CountDownLatch end = darkness;
    if (end == null) {
      return;
    }
    try {
      end.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    darkness = null;
    throw new IOException("was dark");
  }

  /** Returns the number of requests at work. */
  int running() {
    return running.get();
  }

  private void beatRegularly() {
    while (isRegistered) {
      Threads.sleep(1_500);
      beat();
    }
  }

  private synchronized void beat() {
    sequence++;
    store.put(
        "servers/" + id,
        String.format(
            Locale.ROOT,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"slots\":%d,\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":%d,"
                + "\"born\":%d}",
            service,
            server.getInetAddress().getHostAddress(),
            server.getLocalPort(),
            zone,
            slots,
            sequence,
            bornMillis));
  }

  /**
   * Returns whether the entry has closed or reset the connection of a request that is at work. The
   * entry sends nothing more on it before the answer.
   */
  boolean isClosedByPeer(OutputStream out) {
    Socket socket = atWork.get(out);
    if (socket == null) {
      return true;
    }
    try {
      socket.setSoTimeout(1);
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    } finally {
      restoreTimeout(socket);
    }
  }

  private static void restoreTimeout(Socket socket) {
    try {
      socket.setSoTimeout(0);
    } catch (IOException e) {
      // The connection is closed; its thread finds that out.
    }
  }

  /** Returns the header that tells the load, as a whole line. */
  String loadLine() {
    return "Server-Load: " + running.get() + "," + waiting.get() + "," + slots + ",100\r\n";
  }

  /** Writes a whole response with a length. */
  void respond(OutputStream out, Http.Head request, int status, byte[] body) throws IOException {
    out.write(responseHead(request, status, "Content-Length: " + body.length + "\r\n"));
    out.write(body);
    out.flush();
  }

  /** Returns the head of a response to a request that was run. */
  byte[] responseHead(Http.Head request, int status, String framing) {
    return ("HTTP/1.1 "
            + status
            + " S\r\nRequest-Id: "
            + request.field("request-id")
            + "\r\nResponse-Signature: signed-by-"
            + id
            + "\r\n"
            + loadLine()
            + framing
            + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Threads.daemon("target connection " + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Head head = Http.readHead(in);
        if (head == null) {
          return;
        }
        awaitEndOfDarkness();
        if (head.path().equals("/health")) {
          String answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\n" + loadLine();
          out.write((answer + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          continue;
        }
        byte[] body = Http.readRequestBody(in, head);
        String expected = head.field("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          record.line("target %s: 421 to %s", id, head.field("request-id"));
          String answer = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\n";
          out.write((answer + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          continue;
        }
        runInSlot(head, body, out, socket);
      }
    } catch (IOException e) {
      // The entry has closed or reset the connection.
    } finally {
      open.remove(socket);
    }
  }

  private void runInSlot(Http.Head head, byte[] body, OutputStream out, Socket socket)
      throws IOException {
    waiting.incrementAndGet();
    free.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    atWork.put(out, socket);
    try {
      record.line(
          "target %s runs %s %s, body of %d bytes",
          id, head.line(), head.field("request-id"), body.length);
      work.run(this, head, body, out);
    } finally {
      atWork.remove(out);
      running.decrementAndGet();
      free.release();
    }
  }
}
