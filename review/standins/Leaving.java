import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients that pipeline reads leave before their deadline. */
final class Leaving {

  private static final int CLIENTS = 12;
  private static final int DEPTH = Integer.getInteger("depth", 12);
  private static final double LEAVE_SHARE = 0.2;
  private static final int LEAVE_MILLIS = 300;
  private static final long WORK = 1_200;
  private static final int DEADLINE = 6_000;
  private static final double END_AT = 30;
  private static final double HALF_SECOND = 0.5;

  /** When the client of a request closed its connection, in seconds of the record. */
  private static final Map<String, Double> LEFT = new ConcurrentHashMap<>();

  private static final AtomicInteger ANSWERED = new AtomicInteger();
  private static final AtomicInteger BROKEN = new AtomicInteger();

  private Leaving() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Site site = new Site(Path.of(arguments[0]))) {
      site.store.put(
          "op/config",
          Site.config(
              "00000007",
              Site.route("sheet", "idempotent", "jobsheets", 5_000, 2_000),
              "jobsheets"));
      site.addTargets("jobsheets", 24, 6, () -> WORK);
      site.startEntries(3);
      double end = site.record.seconds() + END_AT;
      CountDownLatch over = new CountDownLatch(CLIENTS);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Target.start(
            () -> {
              client(site, number, end, trouble);
              over.countDown();
            });
      }
      over.await();
      Thread.sleep(2 * WORK);
      code = judge(site);
    }
    // An exception ends the program with 1, which must not count as a broken rule.
    System.exit(code == 1 ? 10 : code);
  }



  private static void client(Site site, int number, double end, boolean trouble) {
    Random random = new Random(number);
    String entry = site.entries.get(number % site.entries.size()).ip();
    int sent = 0;
    while (site.record.seconds() < end) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(entry, Net.CALLERS), 1_000);
        socket.setSoTimeout(DEADLINE);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean leaves = false;
        while (!leaves && site.record.seconds() < end) {
          String[] ids = new String[DEPTH];
          for (int i = 0; i < DEPTH; i++) {
            ids[i] = "l%d-%d".formatted(number, sent++);
            String text =
                "GET /sheet/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                    + "Deadline-Ms: %d\r\n\r\n";
            socket
                .getOutputStream()
                .write(text.formatted(ids[i], ids[i], DEADLINE).getBytes(StandardCharsets.US_ASCII));
          }
          leaves = trouble && random.nextDouble() < LEAVE_SHARE;
          if (leaves) {
            Thread.sleep(LEAVE_MILLIS);
            socket.close();
            double now = site.record.seconds();
            site.record.add("client " + number + " leaves, requests up to " + ids[DEPTH - 1]);
            for (String id : ids) {
              LEFT.put(id, now);
            }
            break;
          }
          for (String id : ids) {
            Http answer = Http.readHead(in);
            if (answer == null || answer.status() != 200) {
              throw new IOException(id + (answer == null ? " closed" : " " + answer.first));
            }
            answer.skipBody(in);
            ANSWERED.incrementAndGet();
          }
          Thread.sleep(random.nextInt(200));
        }
      } catch (IOException e) {
        site.record.add("client " + number + ": " + e);
        BROKEN.incrementAndGet();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static int judge(Site site) {
    int wouldLast = 0;
    int atWork = 0;
    for (Map.Entry<String, Double> left : LEFT.entrySet()) {
      Target.Run run = Target.RUNS.get(left.getKey());
      double half = left.getValue() + HALF_SECOND;
      if (run == null || run.began() > left.getValue() || run.began() + WORK / 1e3 < half) {
        continue;
      }
      wouldLast++;
      if (Double.isNaN(run.ended()) || run.ended() > half) {
        atWork++;
        site.record.add("still at work 0.5 s after its client left: " + left.getKey());
      }
    }
    String summary =
        ("answered %d, broken connections %d; requests whose client left and that would have lasted"
                + " 0.5 s more %d, still at work then %d")
            .formatted(ANSWERED.get(), BROKEN.get(), wouldLast, atWork);
    site.record.add(summary);
    System.out.println(summary);
    return 4 * atWork > wouldLast ? 1 : 0;
  }
}
