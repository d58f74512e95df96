import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/**
 * The link of the last entry to the store is cut for a while; after it has healed, targets leave
 * that never report `draining`. With {@code VARIANT=freeze}, one of three entries is suspended
 * instead.
 */
final class Retained {

  private static final int CLIENTS = 30;
  private static final boolean FREEZE = "freeze".equals(System.getenv("VARIANT"));

  /** Two of the four targets in the data centre of the watched entry. */
  private static final List<Integer> LEAVING = FREEZE ? List.of(1, 4) : List.of(0, 3);

  private static final double DRAIN = 2.0;
  private static final double STABLE_WINDOW = 3.0;
  private static final long TROUBLE_MILLIS = 4_000;
  /** The targets serve for `drain` and a little longer, and then exit. */
  private static final long EXIT_AFTER_MILLIS = 2_500;

  private static final long REMOVED_AFTER_MILLIS = 1_600;

  private Retained() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Queue<Caller.Result> results = new ConcurrentLinkedQueue<>();
    int code;
    try (Site site = new Site(Path.of(arguments[0]));
        Proxy proxy =
            new Proxy(
                new InetSocketAddress(Net.address(201), Net.STORE),
                new InetSocketAddress(Net.address(200), Net.STORE))) {
      Random random = new Random();
      site.store.put(
          "op/config",
          Site.config(
              "00000007",
              Site.route("deposit", "non_idempotent", "bookings", 1_200, 400),
              "bookings"));
      site.addTargets("bookings", 12, 6, () -> 100 + random.nextInt(60));
      site.startEntries(FREEZE ? 3 : 1, Net.ip(201) + ":" + Net.STORE);
      double end = site.record.seconds() + 20;
      Entry watched = site.entries.get(FREEZE ? 1 : 0);
      CountDownLatch over = new CountDownLatch(CLIENTS);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Target.start(
            () -> {
              client(site, number, end, results);
              over.countDown();
            });
      }
      // Targets write to the store at every heartbeat.
      Target.start(() -> heartbeats(site, end));
      Thread.sleep(4_000);
      if (trouble && FREEZE) {
        site.record.add("SIGSTOP to " + watched.ip());
        watched.signal("STOP");
      } else if (trouble) {
        site.record.add("link to the store cut");
        proxy.cut();
      }
      Thread.sleep(TROUBLE_MILLIS);
      if (trouble && FREEZE) {
        watched.signal("CONT");
        site.record.add("SIGCONT to " + watched.ip());
      } else if (trouble) {
        proxy.heal();
        site.record.add("link to the store healed");
      }
      double healed = site.record.seconds();
      Thread.sleep(REMOVED_AFTER_MILLIS);
      synchronized (LEAVING) {
        gone = true;
        for (int i : LEAVING) {
          site.store.remove("servers/" + site.targets.get(i).id());
          site.record.add("entry of " + site.targets.get(i).id() + " removed; it serves on");
        }
      }
      double removed = site.record.seconds();
      Thread.sleep(EXIT_AFTER_MILLIS);
      for (int i : LEAVING) {
        site.targets.get(i).close();
        site.record.add(site.targets.get(i).id() + " exits");
      }
      over.await();
      code = judge(site, results, watched.ip(), healed, removed);
    }
    // An exception ends the program with 1, which must not count as a broken rule.
    System.exit(code == 1 ? 10 : code);
  }

  private static boolean gone;

  private static void heartbeats(Site site, double end) {
    try {
      for (long sequence = 2; site.record.seconds() < end; sequence++) {
        for (int i = 0; i < site.targets.size(); i++) {
          Target target = site.targets.get(i);
          synchronized (LEAVING) {
            if (!gone || !LEAVING.contains(i)) {
              site.store.put(
                  "servers/" + target.id(),
                  target.entry("bookings", Site.zone(i), "ready", sequence));
            }
          }
          Thread.sleep(1_500 / site.targets.size());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void client(Site site, int number, double end, Queue<Caller.Result> results) {
    Caller caller = new Caller(site.record);
    Random random = new Random(number);
    try {
      for (int sent = 0; site.record.seconds() < end; sent++) {
        String entry = site.entries.get(number % site.entries.size()).ip();
        String id = "s%d-%d".formatted(number, sent);
        results.add(caller.send(id, entry, "POST", "/deposit/" + id, 300, 1_200));
        Thread.sleep(random.nextInt(100));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int judge(
      Site site, Queue<Caller.Result> results, String watched, double healed, double removed) {
    int late = 0;
    int lateElsewhere = 0;
    int lost = 0;
    TreeMap<Integer, Integer> statuses = new TreeMap<>();
    for (Caller.Result result : results) {
      statuses.merge(result.status(), 1, Integer::sum);
      Target.Run run = Target.RUNS.get(result.id());
      if (run == null || !isLeaving(site, run.target()) || run.began() <= removed + DRAIN) {
        continue;
      }
      if (!result.entry().equals(watched)) {
        lateElsewhere++;
        continue;
      }
      boolean inTouch = result.sent() >= healed + STABLE_WINDOW;
      site.record.add(
          String.format(
              Locale.ROOT,
              "%s reaches %s %.3f s after its removal was acknowledged, %.3f s after the end of the disruption; status %d%s",
              result.id(),
              run.target(),
              run.began() - removed,
              run.began() - healed,
              result.status(),
              inTouch ? "" : ", not yet in touch"));
      late += inTouch ? 1 : 0;
      lost += inTouch && result.status() != 200 ? 1 : 0;
    }
    String summary =
        "requests %d, statuses %s, at a target that has left later than `drain`: %d from the watched entry (answer lost: %d), %d from others"
            .formatted(results.size(), statuses, late, lost, lateElsewhere);
    site.record.add(summary);
    System.out.println(summary);
    return late + lateElsewhere > 0 ? 1 : 0;
  }

  private static boolean isLeaving(Site site, String target) {
    return LEAVING.stream().anyMatch(i -> site.targets.get(i).id().equals(target));
  }
}
