import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/** Eleven of twelve entries are killed, three times, while crews upload photos over connections that they keep. */
final class Uploads {

  private static final int ENTRIES = 12;
  private static final int CREWS = Integer.getInteger("clients", 42);
  private static final int CLIENTS = CREWS + Integer.getInteger("offices", 40);
  private static final int BODY_BYTES = Integer.getInteger("bytes", 3_900_000);
  private static final double TIMEOUT = 4;
  private static final double KILL_AT = 8;
  private static final int KILLS = 3;
  private static final long BETWEEN_MILLIS = 6_000;
  private static final long DOWN_MILLIS = 3_500;
  private static final double END_AT = 38;

  private Uploads() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Queue<UploadClient.Upload> results = new ConcurrentLinkedQueue<>();
    int code;
    try (Site site = new Site(Path.of(arguments[0]))) {
      site.store.put(
          "op/config",
          Site.config(
              "00000007",
              Site.route("photo", "upload", "fieldmedia", (int) (1_000 * TIMEOUT), 3_000)
                  + ","
                  + Site.route("deposit", "non_idempotent", "bookings", (int) (1_000 * TIMEOUT), 3_000),
              "fieldmedia",
              "bookings"));
      site.addTargets("fieldmedia", 6, 6, () -> 140);
      site.addTargets("bookings", 6, 6, () -> 160);
      site.startEntries(ENTRIES);
      double start = site.record.seconds();
      CountDownLatch over = new CountDownLatch(CLIENTS);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Target.start(
            () -> {
              try {
                boolean photo = number < CREWS;
                UploadClient.run(
                    site,
                    number,
                    photo ? "photo" : "deposit",
                    photo ? BODY_BYTES : 300,
                    start + END_AT,
                    address -> address,
                    results);
              } finally {
                over.countDown();
              }
            });
      }
      Thread.sleep((long) (1_000 * KILL_AT));
      for (int i = 0; trouble && i < KILLS; i++) {
        site.record.add("SIGKILL to all entries but the first");
        for (Entry entry : site.entries.subList(1, ENTRIES)) {
          entry.kill();
        }
        Thread.sleep(DOWN_MILLIS);
        for (Entry entry : site.entries.subList(1, ENTRIES)) {
          entry.start();
        }
        site.record.add("the killed entries are started again");
        Thread.sleep(BETWEEN_MILLIS);
      }
      over.await();
      code = judge(site, results);
    }
    // An exception ends the program with 1, which must not count as a broken rule.
    System.exit(code == 1 ? 10 : code);
  }

  private static int judge(Site site, Queue<UploadClient.Upload> results) throws IOException {
    String sound = site.entries.get(0).ip();
    int answered = 0;
    int lost = 0;
    int closedAfterRun = 0;
    int longer = 0;
    int longerUnanswered = 0;
    int uploads = 0;
    for (UploadClient.Upload upload : results) {
      if (!upload.entry().equals(sound)) {
        continue;
      }
      uploads++;
      answered += upload.status() == 200 ? 1 : 0;
      lost += upload.status() <= 0 ? 1 : 0;
      closedAfterRun +=
          upload.status() == 0 && upload.kept() && Target.RUNS.containsKey(upload.id()) ? 1 : 0;
      double took = upload.ended() - upload.began();
      if (took > TIMEOUT) {
        longer++;
        longerUnanswered += upload.status() <= 0 && took > TIMEOUT + 0.5 ? 1 : 0;
      }
    }
    long memory;
    try (var lines = Files.lines(site.entries.get(0).log())) {
      memory = lines.filter(line -> line.contains("OutOfMemoryError")).count();
    }
    String summary =
        String.format(
            Locale.ROOT,
            "at the entry that was not killed: uploads %d, answered 200: %d, without an answer %d"
                + " (of these passed on from a kept connection and closed %d); past their route's"
                + " timeout %d, unanswered 0.5 s after it %d; lines with OutOfMemoryError %d",
            uploads,
            answered,
            lost,
            closedAfterRun,
            longer,
            longerUnanswered,
            memory);
    site.record.add(summary);
    System.out.println(summary);
    boolean broken =
        closedAfterRun > 3 || (longerUnanswered >= 8 && 4 * longerUnanswered > longer);
    return broken ? 1 : 0;
  }
}
