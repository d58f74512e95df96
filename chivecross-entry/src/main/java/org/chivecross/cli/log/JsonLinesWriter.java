package org.chivecross.cli.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one line of JSON to the standard error stream, which may be a file, a
 * pipe or a socket. The JSON writer of tinylog needs a file that it can seek in.
 *
 * <p>Safe for use by many threads: an entry is written with one call.
 */
public final class JsonLinesWriter implements Writer {

  private static final int MAX_TRACE = 2_000;

  private final JsonFactory json = new JsonFactory();
  private final PrintStream out;

  /**
   * Creates the writer that tinylog finds under the name {@code json lines}.
   *
   * @param properties properties of the writer; none is used
   */
  public JsonLinesWriter(Map<String, String> properties) {
    this(System.err);
  }

  /** Creates a writer to a stream. */
  JsonLinesWriter(PrintStream out) {
    this.out = out;
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
    out.println(line);
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }

  private static String stackTrace(Throwable error) {
    StringWriter text = new StringWriter();
    error.printStackTrace(new PrintWriter(text));
    return text.getBuffer().substring(0, Math.min(text.getBuffer().length(), MAX_TRACE));
  }
}
