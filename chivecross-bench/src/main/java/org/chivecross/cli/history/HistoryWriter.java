package org.chivecross.cli.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/** Writes history events as JSON lines. Thread-safe: one lock around the file. */
public final class HistoryWriter implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Optional<BufferedWriter> writer;

  private HistoryWriter(Optional<BufferedWriter> writer) {
    this.writer = writer;
  }

  /** Opens a writer; an empty name gives one that drops all events. */
  public static HistoryWriter open(String file) throws IOException {
    if (file.isEmpty()) {
      return new HistoryWriter(Optional.empty());
    }
    return new HistoryWriter(Optional.of(Files.newBufferedWriter(Path.of(file))));
  }

  /** Writes one event. */
  public void write(Map<String, ?> event) {
    if (writer.isEmpty()) {
      return;
    }
    try {
      String line = MAPPER.writeValueAsString(event);
      synchronized (this) {
        writer.get().write(line);
        writer.get().write('\n');
        writer.get().flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("history file", e);
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
