import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the time since the start, in ms. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    out.printf(Locale.ROOT, "%8.3f  ", millis() / 1000.0);
    out.printf(Locale.ROOT, format + "%n", values);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
