package org.chivecross.logic.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.EnumFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.history.HistoryEvent;

/** Reads and writes history events as JSON lines. Immutable and safe for use by many threads. */
public final class HistoryCodec {

  private final JsonMapper mapper =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(EnumFeature.WRITE_ENUMS_TO_LOWERCASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .build();

  /** Creates a codec. */
  public HistoryCodec() {}

  /** Returns the JSON line of an event, without a line separator. */
  public String write(HistoryEvent event) {
    try {
      return mapper.writerFor(HistoryEvent.class).writeValueAsString(event);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("history event could not be written as JSON", e);
    }
  }

  /**
   * Parses all lines of a file; blank lines are skipped, and every invalid line is returned as a
   * failure.
   */
  public Result<List<HistoryEvent>> read(String fileName, List<String> lines) {
    List<HistoryEvent> events = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).isBlank()) {
        continue;
      }
      try {
        events.add(mapper.readValue(lines.get(i), HistoryEvent.class));
      } catch (JsonProcessingException e) {
        String detail = "line " + (i + 1) + ": " + e.getOriginalMessage();
        failures.add(new Failure(Step.FILE_SET, fileName, detail));
      }
    }
    return failures.isEmpty() ? Result.success(events) : new Result.Failed<>(failures);
  }
}
