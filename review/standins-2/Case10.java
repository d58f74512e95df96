import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send reads at once on one connection each, and some leave before the answers. Ends with 1
 * if targets are still at work half a second later on more than a quarter of the reads that would
 * have lasted so long, as the rule GONE forbids.
 */
final class Case10 {

  private static final int CLIENTS = 10;

  /** One in five clients leaves before its answers. */
  private static final int LEAVES_EVERY = 5;

  private static final int READS_AT_ONCE = 10;
  private static final int WORK_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int ROUNDS = 5;
  private static final long LEAVES_AFTER_MILLIS = 400;
  private static final long SLACK_MILLIS = 500;

  private final Record record;
  private final Set<String> ofLeft = ConcurrentHashMap.newKeySet();

  /** Reads at which a target works, by the time at which it began. */
  private final Map<String, Long> atWork = new ConcurrentHashMap<>();

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger left = new AtomicInteger();
  private final AtomicInteger stillAtWork = new AtomicInteger();

  private Case10(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"));
        Site site = new Site(record)) {
      code = new Case10(record).run(site, trouble);
      record.line("exit %d", code);
    }
    System.exit(code);
  }

  private int run(Site site, boolean trouble) throws IOException, InterruptedException {
    site.store().put("op/config", Config.reads(DEADLINE_MILLIS));
    for (int i = 0; i < 30; i++) {
      site.target("sheets", 6, this::work);
    }
    if (!site.startEntries(1)) {
      return 2;
    }
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      boolean leaves = trouble && i % LEAVES_EVERY == 0;
      clients[i] = Threads.daemon("client", () -> read(site.entry(0), number, leaves));
    }
    for (Thread client : clients) {
      client.join();
    }
    record.line(
        "answered: %d; reads at work when their client left that had 0.5 s or more to go: %d; still "
            + "at work 0.5 s later: %d",
        answered.get(), left.get(), stillAtWork.get());
    if (answered.get() == 0 || (trouble && left.get() == 0)) {
      return 2;
    }
    boolean isBroken = 4 * stillAtWork.get() > left.get();
    record.line("rule GONE %s", isBroken ? "broken" : "held");
    return isBroken ? 1 : 0;
  }

  /** Works on a read; drops it when its connection closes, as most targets do. */
  private void work(Target target, Http.Head head, byte[] body, OutputStream out)
      throws IOException {
    String id = head.field("request-id");
    long start = System.nanoTime();
    atWork.put(id + " " + target.id(), start);
    try {
      while (System.nanoTime() - start < WORK_MILLIS * 1_000_000L) {
        Threads.sleep(20);
        if (target.isClosedByPeer(out)) {
          record.line("target %s drops %s, whose connection was closed", target.id(), id);
          return;
        }
      }
      target.respond(out, head, 200, new byte[400]);
    } finally {
      atWork.remove(id + " " + target.id());
    }
  }

  private void read(Entry entry, int number, boolean leaves) {
    for (int round = 0; round < ROUNDS; round++) {
      String group = "read-" + number + "-" + round + "-";
      try (Client client = new Client(entry)) {
        for (int i = 0; i < READS_AT_ONCE; i++) {
          client.send(Client.request("GET", "/read/" + group + i, group + i, DEADLINE_MILLIS, -1));
        }
        record.line("client %d sent %d reads", number, READS_AT_ONCE);
        if (leaves) {
          Threads.sleep(LEAVES_AFTER_MILLIS);
          client.close();
          afterLeaving(group);
          continue;
        }
        for (int i = 0; i < READS_AT_ONCE; i++) {
          Http.Response response = client.receive(DEADLINE_MILLIS);
          answered.addAndGet(response != null && response.status() == 200 ? 1 : 0);
        }
      } catch (IOException e) {
        record.line("client %d: %s", number, e);
      }
    }
  }

  /** Counts the reads of a client that has left, at once and half a second later. */
  private void afterLeaving(String group) {
    long now = System.nanoTime();
    for (Map.Entry<String, Long> work : atWork.entrySet()) {
      long leftMillis = WORK_MILLIS - (now - work.getValue()) / 1_000_000;
      if (work.getKey().startsWith(group) && leftMillis > SLACK_MILLIS + 100) {
        ofLeft.add(work.getKey());
        left.incrementAndGet();
      }
    }
    Threads.sleep(SLACK_MILLIS);
    int count = 0;
    for (String work : ofLeft) {
      count += work.startsWith(group) && atWork.containsKey(work) ? 1 : 0;
    }
    stillAtWork.addAndGet(count);
    record.line("%s left %d ms ago; targets still work on %d of its reads", group, SLACK_MILLIS, count);
  }
}
