import java.io.IOException;
import java.nio.file.Path;

/** Runs a case and ends the program with its result. Stateless. */
final class Cases {

  private static final int COULD_NOT_RUN = 2;

  private Cases() {}

  /** A case, which returns 1 if its rule was broken, 0 if it held and 2 if it could not run. */
  interface Case {

    int run(Record record, Site site, boolean trouble) throws Exception;
  }

  static void run(String folder, Case toRun) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = COULD_NOT_RUN;
    try (Record record = new Record(Path.of(folder, "record.txt"))) {
      try (Site site = new Site(record)) {
        code = toRun.run(record, site, trouble);
      } catch (Exception e) {
        code = COULD_NOT_RUN;
        record.line("the case could not run: %s", e);
      }
      record.line("exit %d", code);
    }
    System.exit(code);
  }
}
