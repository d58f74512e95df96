import java.io.IOException;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send several reads at once on kept connections while one of three targets truncates some
 * of its answers. Ends with 1 if the connections of more than three reads that were passed on to
 * sound targets are closed without an answer, as the rule LOST forbids.
 */
final class Case8 {

  private static final int BODY_BYTES = 90_000;
  private static final int TRUNCATED_BYTES = 80_000;

  /** One in so many answers of the faulty target is truncated. */
  private static final int TRUNCATED_EVERY = 50;

  private static final int CLIENTS = 4;
  private static final int READS_AT_ONCE = 6;
  private static final int DEADLINE_MILLIS = 6_277;
  private static final long LENGTH_MILLIS = 30_000;

  private final Record record;
  private final Set<String> ranBySoundTarget = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answersOfFaulty = new AtomicInteger();
  private final AtomicInteger truncated = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private Case8(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws IOException {
    Cases.run(arguments[0], (record, site, trouble) -> new Case8(record).run(site, trouble));
  }

  private int run(Site site, boolean trouble) throws IOException, InterruptedException {
    site.store().put("op/config", Config.reads(DEADLINE_MILLIS));
    Target faulty =
        site.target(
            "sheets", 8, (target, head, body, out) -> workFaulty(target, head, out, trouble));
    record.line("the target that truncates answers is %s", faulty.id());
    for (int i = 0; i < 2; i++) {
      site.target("sheets", 8, (target, head, body, out) -> workSoundly(target, head, out));
    }
    if (!site.startEntries(1)) {
      return 2;
    }
    long end = record.millis() + LENGTH_MILLIS;
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients[i] = Threads.daemon("client", () -> read(site.entry(0), number, end));
    }
    for (Thread client : clients) {
      client.join();
    }
    record.line(
        "answered: %d; truncated by the faulty target: %d of its %d; passed on to sound targets and "
            + "closed without an answer: %d",
        answered.get(), truncated.get(), answersOfFaulty.get(), lost.get());
    if (answered.get() == 0 || (trouble && truncated.get() == 0)) {
      return 2;
    }
    record.line("rule LOST %s", lost.get() > 3 ? "broken" : "held");
    return lost.get() > 3 ? 1 : 0;
  }

  private void workSoundly(Target target, Http.Head head, OutputStream out) throws IOException {
    ranBySoundTarget.add(head.field("request-id"));
    Threads.sleep(270);
    target.respond(out, head, 200, new byte[BODY_BYTES]);
  }

  private void workFaulty(Target target, Http.Head head, OutputStream out, boolean trouble)
      throws IOException {
    Threads.sleep(270);
    if (answersOfFaulty.incrementAndGet() % TRUNCATED_EVERY != 0 || !trouble) {
      target.respond(out, head, 200, new byte[BODY_BYTES]);
      return;
    }
    truncated.incrementAndGet();
    record.line("target %s truncates its answer to %s", target.id(), head.field("request-id"));
    out.write(target.responseHead(head, 200, "Content-Length: " + BODY_BYTES + "\r\n"));
    out.write(new byte[TRUNCATED_BYTES]);
    out.flush();
    throw new IOException("truncated");
  }

  /** Sends reads in groups, on a connection that is kept until it is closed. */
  private void read(Entry entry, int number, long endMillis) {
    int sent = 0;
    while (record.millis() < endMillis) {
      try (Client client = new Client(entry)) {
        boolean isOpen = readOnce(client, "first-" + number + "-" + sent++);
        while (isOpen && record.millis() < endMillis) {
          isOpen = readGroup(client, "read-" + number + "-" + sent++ + "-");
          Threads.sleep(200);
        }
      } catch (IOException e) {
        record.line("client %d: %s", number, e);
      }
    }
  }

  private boolean readOnce(Client client, String id) throws IOException {
    client.send(Client.request("GET", "/read/" + id, id, DEADLINE_MILLIS, -1));
    Http.Response response = client.receive(DEADLINE_MILLIS);
    return response != null && !response.head().field("connection").equals("close");
  }

  /** Sends a group of reads at once; returns whether the connection may be used further. */
  private boolean readGroup(Client client, String group) throws IOException {
    for (int i = 0; i < READS_AT_ONCE; i++) {
      client.send(Client.request("GET", "/read/" + group + i, group + i, DEADLINE_MILLIS, -1));
    }
    int next = 0;
    String problem = "closed";
    try {
      for (; next < READS_AT_ONCE; next++) {
        Http.Response response = client.receive(DEADLINE_MILLIS);
        if (response == null) {
          break;
        }
        answered.incrementAndGet();
        if (response.head().field("connection").equals("close")) {
          record.line("%s%d: last answer of its connection", group, next);
          return false;
        }
      }
    } catch (IOException e) {
      problem = e.toString();
    }
    if (next == READS_AT_ONCE) {
      return true;
    }
    for (int i = next; i < READS_AT_ONCE; i++) {
      boolean isLost = ranBySoundTarget.contains(group + i);
      record.line("%s%d: %s; passed on to a sound target: %s", group, i, problem, isLost);
      lost.addAndGet(isLost ? 1 : 0);
    }
    return false;
  }
}
