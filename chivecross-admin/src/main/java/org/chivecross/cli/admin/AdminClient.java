package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/** HTTP client of the administration API of entries. Safe for use by many threads. */
final class AdminClient implements EntrySource {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final int PAGE_SIZE = 500;
  private static final int MAX_PAGES = 100;
  private static final int HTTP_OK = 200;

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
  private final JsonMapper mapper = JsonMapper.builder().build();
  private final String token;

  /** Creates a client that sends the bearer token; "" for none. */
  AdminClient(String token) {
    this.token = token;
  }

  @Override
  public Result<JsonNode> object(String entry, String path) {
    return text(entry, path).flatMap(body -> parse(entry, body));
  }

  @Override
  public Result<JsonNode> rows(String entry, String path) {
    ArrayNode all = mapper.createArrayNode();
    for (int page = 0; page < MAX_PAGES; page++) {
      Result<JsonNode> result =
          object(entry, path + "?offset=" + page * PAGE_SIZE + "&limit=" + PAGE_SIZE);
      if (!(result instanceof Result.Success<JsonNode> success)) {
        return result;
      }
      success.value().path("items").forEach(all::add);
      if (all.size() >= success.value().path("total").asInt()) {
        break;
      }
    }
    return Result.success(all);
  }

  @Override
  public Result<String> text(String entry, String path) {
    HttpRequest.Builder request;
    try {
      request =
          HttpRequest.newBuilder(URI.create("http://" + entry + path)).timeout(REQUEST_TIMEOUT);
    } catch (IllegalArgumentException e) {
      return failed(entry, "not a valid address: " + e.getMessage());
    }
    if (!token.isEmpty()) {
      request.header("Authorization", "Bearer " + token);
    }
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return response.statusCode() == HTTP_OK
          ? Result.success(response.body())
          : failed(entry, path + " answered " + response.statusCode() + " " + detail(response));
    } catch (IOException e) {
      return failed(entry, path + " failed: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return failed(entry, path + " was interrupted");
    }
  }

  /** Percent-encodes a text for use as a path segment. */
  static String encodePathSegment(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private String detail(HttpResponse<String> response) {
    try {
      return mapper.readTree(response.body()).path("detail").asText();
    } catch (IOException e) {
      return "";
    }
  }

  private Result<JsonNode> parse(String entry, String body) {
    try {
      return Result.success(mapper.readTree(body));
    } catch (IOException e) {
      return failed(entry, "the response is not valid JSON");
    }
  }

  private static <T> Result<T> failed(String entry, String detail) {
    return new Result.Failed<>(List.of(new Failure(Step.ADMINISTRATION, entry, detail)));
  }
}
