import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/** One entry gets SIGTERM while clients send deposits of about a second of work. */
final class Stop {

  private static final int CLIENTS = 240;
  private static final double STOP_AT = 12;
  private static final double END_AT = 24;
  private static final int DEADLINE = 6_000;

  private Stop() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Queue<Caller.Result> results = new ConcurrentLinkedQueue<>();
    int code;
    try (Site site = new Site(Path.of(arguments[0]))) {
      Random random = new Random();
      site.store.put(
          "op/config",
          Site.config(
              "00000007",
              Site.route("deposit", "non_idempotent", "bookings", 4_000, 2_500),
              "bookings"));
      site.addTargets(
          "bookings",
          20,
          6,
          () -> (long) Math.max(300, Math.min(3_000, 920 * (1 + 0.3 * random.nextGaussian()))));
      site.startEntries(3);
      double start = site.record.seconds();
      double stop = start + STOP_AT;
      double end = start + END_AT;
      CountDownLatch over = new CountDownLatch(CLIENTS);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Target.start(
            () -> {
              client(site, number, end, results);
              over.countDown();
            });
      }
      Entry victim = site.entries.get(1);
      sleepUntil(site, stop);
      double signalled = Double.NaN;
      if (trouble) {
        signalled = site.record.seconds();
        site.record.add("SIGTERM to " + victim.ip());
        victim.signal("TERM");
        boolean ended = victim.awaitEnd(6_000);
        site.record.add("process ended after %.3f s".formatted(site.record.seconds() - signalled));
        if (!ended) {
          victim.kill();
        }
      }
      over.await();
      code = judge(site, results, victim.ip(), signalled);
    }
    // An exception ends the program with 1, which must not count as a broken rule.
    System.exit(code == 1 ? 10 : code);
  }

  private static void sleepUntil(Site site, double seconds) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) (1_000 * (seconds - site.record.seconds()))));
  }

  private static void client(
      Site site, int number, double end, Queue<Caller.Result> results) {
    Random random = new Random(number);
    Caller caller = new Caller(site.record);
    // One client in three keeps an answer of the directory three times as long.
    double keep = number % 3 == 0 ? 9 : 3;
    List<String> addresses = new ArrayList<>();
    double until = 0;
    int sent = 0;
    try {
      Thread.sleep(random.nextInt(2_000));
      while (site.record.seconds() < end) {
        if (site.record.seconds() >= until || addresses.isEmpty()) {
          for (int i = 0; i < 3; i++) {
            Entry asked = site.entries.get((number + i) % site.entries.size());
            List<String> found = Caller.resolve(asked.ip(), Site.zone(number));
            if (!found.isEmpty()) {
              addresses = new ArrayList<>(found);
              until = site.record.seconds() + keep;
              break;
            }
          }
        }
        String entry = addresses.get(random.nextInt(addresses.size()));
        String id = "c%d-%d".formatted(number, sent++);
        Caller.Result result = caller.send(id, entry, "POST", "/deposit/" + id, 300, DEADLINE);
        results.add(result);
        if (result.status() == -1) {
          addresses.remove(entry);
        }
        Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_500));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int judge(
      Site site, Queue<Caller.Result> results, String victim, double signalled) {
    int cut = 0;
    int answered = 0;
    for (Caller.Result result : results) {
      answered += result.status() == 200 ? 1 : 0;
      Target.Run run = Target.RUNS.get(result.id());
      boolean lost = result.status() == 0 && run != null;
      if (!lost || !result.entry().equals(victim)) {
        continue;
      }
      double afterTerm = result.sent() - signalled;
      // The rule leaves out a target still at work in the last sixth of the grace period on a
      // request that was sent no later than 3 s after the signal.
      boolean excused = afterTerm <= 3 && (Double.isNaN(run.ended()) || run.ended() - signalled >= 5);
      site.record.add(
          String.format(
              Locale.ROOT,
              "cut %s: sent %.3f s after SIGTERM, cut %.3f s after it, at work since %.3f s%s",
              result.id(),
              afterTerm,
              result.ended() - signalled,
              run.began() - signalled,
              excused ? ", excused" : ""));
      cut += excused ? 0 : 1;
    }
    int other = 0;
    for (Caller.Result result : results) {
      other += result.status() == 0 && !result.entry().equals(victim) ? 1 : 0;
    }
    String summary =
        "requests %d, answered 200: %d, cut at the stopped entry and not excused: %d, closed elsewhere: %d, repeated runs: %d"
            .formatted(results.size(), answered, cut, other, Target.REPEATED.get());
    site.record.add(summary);
    System.out.println(summary);
    return cut > 0 ? 1 : 0;
  }
}
