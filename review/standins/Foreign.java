import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves entries below servers/ whose address can't be read. */
final class Foreign {

  private static final int CLIENTS = 60;
  private static final int DEPTH = 4;
  private static final int GAP_MILLIS = 25;
  private static final int DEADLINE = 3_000;
  private static final double TIMEOUT = 1;
  private static final int FOREIGN = 3;
  private static final double WRITE_AT = 6;
  private static final double END_AT = 40;

  private static final AtomicInteger ANSWERED = new AtomicInteger();
  private static final AtomicInteger LONGER = new AtomicInteger();
  private static final AtomicInteger UNANSWERED = new AtomicInteger();
  private static final AtomicInteger CLOSED = new AtomicInteger();
  private static final AtomicInteger CLOSED_AFTER_PASSED = new AtomicInteger();

  private Foreign() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Site site = new Site(Path.of(arguments[0]))) {
      Random random = new Random();
      site.store.put(
          "op/config",
          Site.config(
              "00000007", Site.route("sheet", "idempotent", "jobsheets", 1_000, 300), "jobsheets"));
      site.addTargets("jobsheets", 15, 6, () -> 80 + random.nextInt(80));
      site.startEntries(3);
      double start = site.record.seconds();
      CountDownLatch over = new CountDownLatch(CLIENTS);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Target.start(
            () -> {
              client(site, number, start + END_AT);
              over.countDown();
            });
      }
      Thread.sleep((long) (1_000 * WRITE_AT));
      for (int i = 0; trouble && i < FOREIGN; i++) {
        site.store.put(
            "servers/other-" + i,
            ("{\"service\":\"jobsheets\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                    + "\"slots\":6,\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":4,"
                    + "\"born\":1790000000000}")
                .formatted(Net.ip(180 + i), 70_000 + i, Site.zone(i)));
        site.record.add("foreign entry other-" + i + " written");
      }
      over.await();
      String summary =
          ("answered %d; past their route's timeout %d, unanswered 0.5 s after it %d; closed without"
                  + " an answer %d, of these passed on to a sound target %d")
              .formatted(
                  ANSWERED.get(),
                  LONGER.get(),
                  UNANSWERED.get(),
                  CLOSED.get(),
                  CLOSED_AFTER_PASSED.get());
      site.record.add(summary);
      System.out.println(summary);
    }
    boolean broken =
        CLOSED_AFTER_PASSED.get() > 3
            || (UNANSWERED.get() >= 8 && 4 * UNANSWERED.get() > LONGER.get());
    // An exception ends the program with 1, which must not count as a broken rule.
    System.exit(broken ? 10 : 0);
  }

  /** Sends reads over a kept connection, each a little after the one before. */
  private static void client(Site site, int number, double end) {
    Random random = new Random(number);
    String entry = site.entries.get(number % site.entries.size()).ip();
    int sent = 0;
    while (site.record.seconds() < end) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(entry, Net.CALLERS), 1_000);
        socket.setSoTimeout(DEADLINE);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (boolean kept = false; site.record.seconds() < end; kept = true) {
          String[] ids = new String[1 + random.nextInt(DEPTH)];
          double[] began = new double[ids.length];
          int written = 0;
          int answered = 0;
          try {
            for (; written < ids.length; written++) {
              ids[written] = "w%d-%d".formatted(number, sent++);
              began[written] = site.record.seconds();
              String text =
                  "GET /sheet/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
                      + "Deadline-Ms: %d\r\n\r\n";
              socket
                  .getOutputStream()
                  .write(
                      text.formatted(ids[written], ids[written], DEADLINE)
                          .getBytes(StandardCharsets.ISO_8859_1));
              Thread.sleep(GAP_MILLIS);
            }
            for (; answered < ids.length; answered++) {
              Http answer = Http.readHead(in);
              if (answer == null) {
                throw new IOException("closed without an answer");
              }
              answer.skipBody(in);
              ANSWERED.incrementAndGet();
              LONGER.addAndGet(site.record.seconds() - began[answered] > TIMEOUT ? 1 : 0);
            }
          } catch (IOException e) {
            for (int i = answered; i < written; i++) {
              double took = site.record.seconds() - began[i];
              boolean passed = kept && Target.RUNS.containsKey(ids[i]);
              site.record.add(
                  "%s at %s: %s after %.3f s%s"
                      .formatted(ids[i], entry, e, took, passed ? ", passed on" : ""));
              boolean late = took > TIMEOUT + 0.5;
              LONGER.addAndGet(took > TIMEOUT ? 1 : 0);
              UNANSWERED.addAndGet(late ? 1 : 0);
              CLOSED.addAndGet(late ? 0 : 1);
              CLOSED_AFTER_PASSED.addAndGet(!late && passed ? 1 : 0);
            }
            throw e;
          }
          Thread.sleep(random.nextInt(60));
        }
      } catch (IOException e) {
        // The next request goes over a new connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
