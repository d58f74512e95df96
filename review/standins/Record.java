import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, one event a line. Safe for use by many threads. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final Writer writer;

  Record(Path file) throws IOException {
    writer = Files.newBufferedWriter(file);
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String event) {
    try {
      writer.write(String.format(Locale.ROOT, "%8.3f %s%n", seconds(), event));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    writer.close();
  }
}
