package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/** Entries with fixed answers; a list without a fixed answer is empty. */
final class FakeEntries implements EntrySource {

  private final Map<String, String> answers = new ConcurrentHashMap<>();

  FakeEntries answer(String entry, String path, String body) {
    answers.put(entry + path, body);
    return this;
  }

  @Override
  public Result<JsonNode> object(String entry, String path) {
    return text(entry, path).flatMap(body -> Result.success(json(body)));
  }

  @Override
  public Result<JsonNode> rows(String entry, String path) {
    return Result.success(json(answers.getOrDefault(entry + path, "[]")));
  }

  @Override
  public Result<String> text(String entry, String path) {
    String body = answers.get(entry + path);
    return body == null
        ? Result.failed(Step.ADMINISTRATION, entry, "connection refused")
        : Result.success(body);
  }

  private static JsonNode json(String text) {
    try {
      return JsonMapper.builder().build().readTree(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
