import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/** A sound target, as PROTOCOL.md describes it. Safe for use by many threads. */
final class Target implements AutoCloseable {

  /** When a run of a request began and ended, in seconds of the record; NaN while it runs. */
  record Run(String target, double began, double ended, boolean whole) {}

  static final Map<String, Run> RUNS = new ConcurrentHashMap<>();
  static final AtomicInteger REPEATED = new AtomicInteger();

  private final String id;
  private final int number;
  private final int slots;
  private final LongSupplier workMillis;
  private final Record record;
  private final ServerSocket server;
  private final Semaphore free;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Target(int number, int slots, LongSupplier workMillis, Record record) throws IOException {
    this.number = number;
    this.slots = slots;
    this.workMillis = workMillis;
    this.record = record;
    id = "i-" + (1000 + number);
    free = new Semaphore(slots, true);
    server = new ServerSocket();
    server.bind(new InetSocketAddress(Net.address(100 + number), Net.TARGETS), 512);
    start(this::accept);
  }

  String id() {
    return id;
  }

  String address() {
    return Net.ip(100 + number) + ":" + Net.TARGETS;
  }

  /** Returns what the target writes to the store about itself. */
  String entry(String service, String zone, String state, long sequence) {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"%s\",\"warmup_left\":\"0ms\",\"sequence\":%d,\"born\":%d}")
        .formatted(service, address(), zone, slots, state, sequence, 1_790_000_000_000L + number);
  }

  /** Ends like a process that exits: its port and all its connections are closed. */
  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  static void start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 128 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        open.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 32 * 1024);
      while (true) {
        socket.setSoTimeout(10_000);
        Http head;
        try {
          head = Http.readHead(in);
        } catch (SocketTimeoutException e) {
          return;
        }
        if (head == null || !answer(socket, in, head)) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side closed or reset the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  private boolean answer(Socket socket, InputStream in, Http head)
      throws IOException, InterruptedException {
    long bytes = head.skipBody(in);
    if (head.first.contains(" /health ")) {
      send(socket, "200 OK", "Instance-Id: " + id + "\r\n", "");
      return true;
    }
    String request = head.headers.getOrDefault("request-id", "");
    String echo = "Request-Id: " + request + "\r\n";
    String expected = head.headers.get("expect-instance");
    if (expected != null && !expected.equals(id)) {
      send(socket, "421 Misdirected Request", echo + "Instance-Id: " + id + "\r\n", "");
      return true;
    }
    long deadline =
        System.nanoTime()
            + Long.parseLong(head.headers.getOrDefault("deadline-ms", "30000")) * 1_000_000;
    if (waiting.get() >= 24) {
      send(socket, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", "");
      return true;
    }
    waiting.incrementAndGet();
    try {
      free.acquire();
    } finally {
      waiting.decrementAndGet();
    }
    running.incrementAndGet();
    try {
      if (System.nanoTime() > deadline) {
        send(socket, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", "");
        return true;
      }
      double began = record.seconds();
      record.add("run " + request + " at " + id + " bytes " + bytes + " " + head.first);
      if (RUNS.put(request, new Run(id, began, Double.NaN, false)) != null) {
        REPEATED.incrementAndGet();
        record.add("repeated " + request);
      }
      boolean connected = work(socket, in, Math.min(workMillis.getAsLong(), left(deadline)));
      RUNS.put(request, new Run(id, began, record.seconds(), connected));
      if (!connected) {
        record.add("dropped " + request + " at " + id + ": its connection was closed");
        return false;
      }
      if (System.nanoTime() >= deadline) {
        send(socket, "504 Gateway Timeout", echo, "");
        return true;
      }
      record.add("done " + request + " at " + id);
      send(socket, "200 OK", echo + "Response-Signature: " + request + "." + bytes + "\r\n", "ok");
      return true;
    } finally {
      running.decrementAndGet();
      free.release();
    }
  }

  private static long left(long deadline) {
    return Math.max(1, (deadline - System.nanoTime()) / 1_000_000);
  }

  /** Works; returns false if the connection was closed meanwhile. */
  private static boolean work(Socket socket, InputStream in, long millis) throws IOException {
    socket.setSoTimeout((int) Math.max(1, millis));
    in.mark(1);
    try {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      throw new IOException("bytes before the answer");
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void send(Socket socket, String status, String headers, String body) throws IOException {
    String load = running.get() + "," + waiting.get() + "," + slots + ",100";
    String text =
        "HTTP/1.1 "
            + status
            + "\r\n"
            + headers
            + "Server-Load: "
            + load
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
