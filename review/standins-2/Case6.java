import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Uploads of 360 kB go through one entry while the operator raises the time-out of their route.
 * Bookings run beside them on kept connections. Ends with 1 if the entry leaves requests unanswered
 * half a second after the time-out of their route, as the rule CONFIG forbids.
 */
final class Case6 {

  private static final int UPLOAD_BYTES = 360_000;
  private static final int UPLOAD_DEADLINE_MILLIS = 8_265;

  /** Time-out of the route of the bookings. */
  private static final int TIMEOUT_MILLIS = 1_200;

  private static final int UPLOADERS = 24;
  private static final long UPLOAD_PERIOD_MILLIS = 640;
  private static final int BOOKERS = 8;
  private static final long CHANGE_AT_MILLIS = 10_000;
  private static final long END_AT_MILLIS = 32_000;

  private final Record record;
  private final Site site;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile int uploadTimeoutMillis = TIMEOUT_MILLIS;
  private volatile boolean over;

  private Case6(Record record, Site site) {
    this.record = record;
    this.site = site;
  }

  public static void main(String[] arguments) throws IOException {
    Cases.run(arguments[0], (record, site, trouble) -> new Case6(record, site).run(trouble));
  }

  private int run(boolean trouble) throws IOException {
    site.store().put("op/config", config(7, TIMEOUT_MILLIS));
    for (int i = 0; i < 3; i++) {
      site.target("media", 6, (target, head, body, out) -> answer(target, head, out, 140));
      site.target("bookings", 6, (target, head, body, out) -> answer(target, head, out, 50));
    }
    if (!site.startEntries(1)) {
      return 2;
    }
    Entry entry = site.entry(0);
    for (int i = 0; i < UPLOADERS; i++) {
      int number = i;
      Threads.daemon("uploader", () -> upload(entry, number));
    }
    for (int i = 0; i < BOOKERS; i++) {
      int number = i;
      Threads.daemon("booker", () -> book(entry, number));
    }
    Threads.sleep(CHANGE_AT_MILLIS);
    if (trouble) {
      site.store().put("op/config", config(12, UPLOAD_DEADLINE_MILLIS));
      uploadTimeoutMillis = UPLOAD_DEADLINE_MILLIS;
      record.line("the operator raises the time-out of the uploads to %d ms", UPLOAD_DEADLINE_MILLIS);
    }
    Threads.sleep(END_AT_MILLIS - CHANGE_AT_MILLIS);
    over = true;
    // The last uploads may still be answered in time.
    Threads.sleep(UPLOAD_DEADLINE_MILLIS + 1_000);
    boolean isAlive = entry.isAlive();
    int readiness = entry.readiness(2_000);
    record.line("process alive: %s; readiness: %d (0: no answer)", isAlive, readiness);
    site.recordLog(entry, "OutOfMemoryError", 3);
    site.recordLog(entry, "Exception: ", 1);
    record.line(
        "served: %d; closed without an answer: %d; unanswered at the time-out of their route: %d, "
            + "of these without an answer 0.5 s later: %d",
        served.get(), closed.get(), overdue.get(), unanswered.get());
    if (served.get() == 0) {
      return 2;
    }
    boolean isBroken = unanswered.get() >= 8 && 2 * unanswered.get() > overdue.get();
    record.line("rule CONFIG %s", isBroken ? "broken" : "held");
    return isBroken ? 1 : 0;
  }

  private static void answer(Target target, Http.Head head, OutputStream out, long workMillis)
      throws IOException {
    Threads.sleep(workMillis);
    target.respond(out, head, 200, new byte[400]);
  }

  private static String config(int version, int uploadTimeoutMillis) {
    return """
        {"version":"%08x","routes":[
        {"name":"r-book","host":"jepu9.example","prefix":"/book/","kind":"non_idempotent",
         "timeout":"1200ms","aim":"400ms","priority":1,"service":"bookings","max_attempts":2},
        {"name":"r-photo","host":"jepu9.example","prefix":"/photo/","kind":"upload",
         "timeout":"%dms","aim":"500ms","priority":1,"service":"media","max_attempts":2}],
        "services":[{"name":"bookings","health_path":"/health","max_connections":320},
         {"name":"media","health_path":"/health","max_connections":320}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
         "header_timeout":"3000ms","idle_timeout":"15000ms"}}
        """
        .formatted(version, uploadTimeoutMillis);
  }

  /** Sends one upload after the other on a kept connection. */
  private void upload(Entry entry, int uploader) {
    byte[] body = new byte[UPLOAD_BYTES];
    int sent = 0;
    Threads.sleep(uploader * UPLOAD_PERIOD_MILLIS / UPLOADERS);
    while (!over) {
      try (Client client = new Client(entry)) {
        boolean isKept = true;
        while (!over && isKept) {
          long next = System.currentTimeMillis() + UPLOAD_PERIOD_MILLIS;
          String id = "upload-" + uploader + "-" + sent++;
          client.send(Client.request("POST", "/photo/x", id, UPLOAD_DEADLINE_MILLIS, body.length));
          client.send(body);
          record.line("sent %s, %d bytes", id, body.length);
          isKept = isAnswered(client, id, uploadTimeoutMillis);
          Threads.sleep(Math.max(0, next - System.currentTimeMillis()));
        }
      } catch (IOException e) {
        record.line("uploader %d: %s", uploader, e);
      }
      Threads.sleep(200);
    }
  }

  /** Sends one booking after the other on a kept connection. */
  private void book(Entry entry, int booker) {
    int sent = 0;
    while (!over) {
      try (Client client = new Client(entry)) {
        boolean isKept = true;
        while (!over && isKept) {
          String id = "booking-" + booker + "-" + sent++;
          client.send(Client.request("POST", "/book/x", id, TIMEOUT_MILLIS, 0));
          isKept = isAnswered(client, id, TIMEOUT_MILLIS);
          Threads.sleep(150);
        }
      } catch (IOException e) {
        record.line("booker %d: %s", booker, e);
      }
      Threads.sleep(200);
    }
  }

  /**
   * Awaits the answer to a request that was sent completely.
   *
   * @return whether it came at half a second after the time-out of its route or before
   */
  private boolean isAnswered(Client client, String id, int timeoutMillis) throws IOException {
    long start = System.nanoTime();
    try {
      Http.Response response = client.receive(timeoutMillis + 500);
      long millis = (System.nanoTime() - start) / 1_000_000;
      if (response == null) {
        record.line("%s: closed without an answer after %d ms", id, millis);
        closed.incrementAndGet();
        return false;
      }
      record.line("%s: %d after %d ms", id, response.status(), millis);
      served.addAndGet(response.status() == 200 ? 1 : 0);
      overdue.addAndGet(millis > timeoutMillis ? 1 : 0);
      return true;
    } catch (SocketTimeoutException e) {
      overdue.incrementAndGet();
      unanswered.incrementAndGet();
      record.line("%s: no answer %d ms after it was sent", id, timeoutMillis + 500);
      return false;
    }
  }
}
