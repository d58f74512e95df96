package org.chivecross.cli.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.function.BiFunction;
import org.chivecross.logic.history.HistoryCodec;
import org.chivecross.model.history.HistoryEvent;

/** Writes history events to a file, one JSON line each. Thread-safe: one lock guards the file. */
public final class HistoryWriter implements AutoCloseable {

  private static final HistoryCodec CODEC = new HistoryCodec();

  private final Optional<BufferedWriter> writer;
  private final String process;

  private HistoryWriter(Optional<BufferedWriter> writer, String process) {
    this.writer = writer;
    this.process = process;
  }

  /** Opens the writer of a process; with an empty file name it discards all events. */
  public static HistoryWriter open(String file, String process) throws IOException {
    if (file.isEmpty()) {
      return new HistoryWriter(Optional.empty(), process);
    }
    return new HistoryWriter(Optional.of(Files.newBufferedWriter(Path.of(file))), process);
  }

  /**
   * Writes one event. The function creates it from the present time, in µs since the epoch, and the
   * name of the process; it is not called if the writer has no file.
   */
  public void write(BiFunction<Long, String, HistoryEvent> event) {
    if (writer.isEmpty()) {
      return;
    }
    long at = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    String line = CODEC.write(event.apply(at, process));
    try {
      synchronized (this) {
        writer.get().write(line);
        writer.get().write('\n');
        writer.get().flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("history event not written", e);
    }
  }

  @Override
  public void close() throws IOException {
    if (writer.isPresent()) {
      synchronized (this) {
        writer.get().close();
      }
    }
  }
}
