import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * The four busiest of 28 targets go dark for some seconds while they send large answers. Ends with 1 if the
 * entry gives no final answer to these reads half a second after the time-out of their route, as the
 * rule CONFIG forbids.
 */
final class Case9 {

  /** A large answer of the kind {@code download}, and the parts in which it is sent. */
  private static final int BODY_BYTES = 200_000;

  private static final int FIRST_BYTES = 80_000;
  private static final int PART_BYTES = 6_000;
  private static final int PART_MILLIS = 50;
  private static final int TARGETS = 28;
  private static final int DARK_TARGETS = 4;
  private static final int CLIENTS = 110;

  /** Time over which the clients start, so that the entry is not overloaded at once. */
  private static final long START_MILLIS = 4_000;

  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 6_277;
  private static final long DARK_AT_MILLIS = 8_000;
  private static final long DARK_MILLIS = 4_500;
  private static final long LENGTH_MILLIS = 16_000;

  private final Record record;
  private final CountDownLatch back = new CountDownLatch(1);
  private final List<Target> targets = new ArrayList<>();
  private volatile Set<Target> dark = Set.of();
  private final AtomicInteger inTime = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unfinished = new AtomicInteger();

  private Case9(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws IOException {
    Cases.run(arguments[0], (record, site, trouble) -> new Case9(record).run(site, trouble));
  }

  private int run(Site site, boolean trouble) throws IOException, InterruptedException {
    site.store().put("op/config", Config.reads(TIMEOUT_MILLIS));
    for (int i = 0; i < TARGETS; i++) {
      targets.add(site.target("sheets", 6, (target, head, body, out) -> work(target, head, out)));
    }
    if (!site.startEntries(1)) {
      return 2;
    }
    if (trouble) {
      Threads.daemon("darkness", this::goDark);
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
        "ended within the time-out: %d; not ended then: %d; of these without a final answer 0.5 s "
            + "later: %d",
        inTime.get(), overdue.get(), unfinished.get());
    if (inTime.get() == 0) {
      return 2;
    }
    boolean isBroken = unfinished.get() >= 8 && 4 * unfinished.get() > overdue.get();
    record.line("rule CONFIG %s", isBroken ? "broken" : "held");
    return isBroken ? 1 : 0;
  }

  private void goDark() {
    Threads.sleep(DARK_AT_MILLIS);
    dark =
        targets.stream()
            .sorted(Comparator.comparingInt(Target::running).reversed())
            .limit(DARK_TARGETS)
            .collect(Collectors.toSet());
    dark.forEach(target -> target.goDark(back));
    record.line("%s go dark", dark.stream().map(Target::id).toList());
    Threads.sleep(DARK_MILLIS);
    record.line("they are back, and know nothing of before");
    dark = Set.of();
    back.countDown();
  }

  /** Sends an answer in parts; in the dark, nothing more is sent and the connection stays. */
  private void work(Target target, Http.Head head, OutputStream out) throws IOException {
    out.write(target.responseHead(head, 200, "Content-Length: " + BODY_BYTES + "\r\n"));
    out.write(new byte[FIRST_BYTES]);
    out.flush();
    for (int sent = FIRST_BYTES; sent < BODY_BYTES; sent += PART_BYTES) {
      Threads.sleep(PART_MILLIS);
      if (dark.contains(target)) {
        record.line(
            "target %s is dark after %d bytes of %s", target.id(), sent, head.field("request-id"));
        target.awaitEndOfDarkness();
      }
      out.write(new byte[PART_BYTES]);
      out.flush();
    }
  }

  private void read(Entry entry, int number, long endMillis) {
    int sent = 0;
    Threads.sleep(number * START_MILLIS / CLIENTS);
    while (record.millis() < endMillis) {
      try (Client client = new Client(entry)) {
        while (record.millis() < endMillis && isEnded(client, "read-" + number + "-" + sent++)) {
          Threads.sleep(50);
        }
      } catch (IOException e) {
        record.line("client %d: %s", number, e);
      }
    }
  }

  /** Sends a read; returns whether its answer is complete in time, so that the next may follow. */
  private boolean isEnded(Client client, String id) throws IOException {
    long start = System.nanoTime();
    client.send(Client.request("GET", "/read/" + id, id, DEADLINE_MILLIS, -1));
    String end;
    boolean isComplete = false;
    try {
      Http.Response response = client.receive(DEADLINE_MILLIS + 3_000);
      isComplete = response != null;
      end = isComplete ? response.head().line() : "closed";
    } catch (IOException e) {
      end = e.toString();
    }
    long millis = (System.nanoTime() - start) / 1_000_000;
    record.line("%s: %s after %d ms", id, end, millis);
    inTime.addAndGet(millis <= TIMEOUT_MILLIS ? 1 : 0);
    overdue.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
    unfinished.addAndGet(millis > TIMEOUT_MILLIS + 500 ? 1 : 0);
    return isComplete;
  }
}
