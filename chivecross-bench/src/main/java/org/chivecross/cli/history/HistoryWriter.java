package org.chivecross.cli.history;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Writes history events as JSON lines. Thread-safe: one lock around the file. */
public final class HistoryWriter implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Optional<BufferedWriter> writer;
  private final String process;

  private HistoryWriter(Optional<BufferedWriter> writer, String process) {
    this.writer = writer;
    this.process = process;
  }

  /** Opens the writer of a process; an empty file name gives one that drops all events. */
  public static HistoryWriter open(String file, String process) throws IOException {
    if (file.isEmpty()) {
      return new HistoryWriter(Optional.empty(), process);
    }
    return new HistoryWriter(Optional.of(Files.newBufferedWriter(Path.of(file))), process);
  }

  /** Returns whether events are kept at all. */
  public boolean isOpen() {
    return writer.isPresent();
  }

  /** Writes one event with its time and the name of the process. */
  public void write(String event, Map<String, ?> fields) {
    if (writer.isEmpty()) {
      return;
    }
    Map<String, Object> whole = new LinkedHashMap<>();
    whole.put("event", event);
    whole.put("at", ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    whole.put("by", process);
    whole.putAll(fields);
    try {
      String line = MAPPER.writeValueAsString(whole);
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
