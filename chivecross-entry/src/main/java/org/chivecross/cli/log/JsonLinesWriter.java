package org.chivecross.cli.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.function.Consumer;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Tinylog writer that writes each log entry as one line of JSON to standard error or standard
 * output. These may be a pipe or a socket, whereas tinylog's own JSON writer needs a seekable file.
 *
 * <p>Thread-safe: each entry is written with one call.
 */
public final class JsonLinesWriter implements Writer {

  private static final int MAX_STACK_TRACE_CHARS = 2_000;

  /** Maximum time for which a flush or close waits for queued lines, for example at process end. */
  private static final long DRAIN_TIMEOUT_MILLIS = 200;

  private final JsonFactory json = new JsonFactory();
  private final Consumer<String> out;
  private final Runnable drain;

  /**
   * Creates a writer; called by tinylog, where it is registered as {@code json lines}.
   *
   * @param properties properties of the writer; {@code stream = out} writes to standard output
   *     instead of standard error, through a bounded queue
   */
  public JsonLinesWriter(Map<String, String> properties) {
    if ("out".equals(properties.get("stream"))) {
      LineQueue queue = LineQueue.to(System.out);
      out = queue;
      drain = () -> queue.drain(DRAIN_TIMEOUT_MILLIS);
    } else {
      out = System.err::println;
      drain = System.err::flush;
    }
  }

  /** Creates a writer that passes its lines to {@code out}. */
  JsonLinesWriter(Consumer<String> out) {
    this.out = out;
    drain = () -> {};
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION,
        LogEntryValue.CONTEXT);
  }

  @Override
  public void write(LogEntry entry) throws IOException {
    StringWriter line = new StringWriter();
    try (JsonGenerator generator = json.createGenerator(line)) {
      generator.writeStartObject();
      generator.writeStringField("time", entry.getTimestamp().toInstant().toString());
      generator.writeStringField("level", String.valueOf(entry.getLevel()));
      generator.writeStringField("class", entry.getClassName());
      generator.writeStringField("message", entry.getMessage());
      for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
        generator.writeStringField(field.getKey(), field.getValue());
      }
      if (entry.getException() != null) {
        generator.writeStringField("exception", stackTrace(entry.getException()));
      }
      generator.writeEndObject();
    }
    out.accept(line.toString());
  }

  @Override
  public void flush() {
    drain.run();
  }

  @Override
  public void close() {
    drain.run();
  }

  private static String stackTrace(Throwable error) {
    StringWriter text = new StringWriter();
    error.printStackTrace(new PrintWriter(text));
    return text.getBuffer()
        .substring(0, Math.min(text.getBuffer().length(), MAX_STACK_TRACE_CHARS));
  }
}
