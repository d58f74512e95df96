package org.chivecross.cli.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.chivecross.logic.config.PlatformCalls;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.manifest.Manifest;

/**
 * Client that reads and watches the platform over Consul's HTTP API; it never writes. Thread-safe.
 *
 * <p>Invariant: every call for the manifest or a file leads to exactly one event, with an answer or
 * a failure, within its time-out.
 */
public final class PlatformClient implements PlatformCalls {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(3);

  /** Size limit of an answer: the largest value, in Base64, and the JSON around it. */
  private static final int MAX_ANSWER_BYTES = Manifest.MAX_VALUE_BYTES * 3 / 2;

  private static final int MAX_VM_LIST_BYTES = 8_000_000;
  private static final int OK = 200;

  private final HttpClient http;
  private final URI base;
  private final String manifestKey;
  private final PlatformEvents events;
  private final JsonMapper mapper = JsonMapper.builder().build();

  /**
   * Creates a client.
   *
   * @param base URI of the platform, without path
   * @param deployment deployment whose manifest is read
   * @param events receives the answers
   */
  public PlatformClient(URI base, String deployment, PlatformEvents events) {
    this.base = base;
    this.events = events;
    manifestKey = Manifest.manifestKey(deployment);
    http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
  }

  @Override
  public void readManifest() {
    get(
        "/v1/kv/" + manifestKey,
        READ_TIMEOUT,
        MAX_ANSWER_BYTES,
        result -> events.manifestRead(false, result.flatMap(this::parseValue)));
  }

  @Override
  public void watchManifest(long revision, long waitMillis) {
    String query = "?index=" + revision + "&wait=" + waitMillis + "ms";
    get(
        "/v1/kv/" + manifestKey + query,
        Duration.ofMillis(waitMillis).plus(WATCH_TIMEOUT_MARGIN),
        MAX_ANSWER_BYTES,
        result -> events.manifestRead(true, result.flatMap(this::parseValue)));
  }

  @Override
  public void readFile(String key, String digest) {
    get(
        "/v1/kv/" + key,
        READ_TIMEOUT,
        MAX_ANSWER_BYTES,
        result ->
            events.fileRead(
                digest,
                result
                    .flatMap(this::parseValue)
                    .flatMap(value -> Result.success(value.content()))));
  }

  /** Reads the list of VMs; a failed read is ignored and leads to no event. */
  public void readVms() {
    get(
        "/v1/catalog/nodes",
        READ_TIMEOUT,
        MAX_VM_LIST_BYTES,
        result -> {
          if (result.flatMap(this::parseVms) instanceof Result.Success<List<ListedVm>> listed) {
            events.vmsRead(listed.value());
          }
        });
  }

  private void get(String path, Duration timeout, int maxBytes, Consumer<Result<byte[]>> answered) {
    HttpRequest request = HttpRequest.newBuilder(base.resolve(path)).timeout(timeout).GET().build();
    http.sendAsync(request, head -> new BoundedBodySubscriber(maxBytes))
        .whenComplete(
            (response, cause) ->
                answered.accept(cause == null ? bodyOf(response, path) : failed(cause)));
  }

  private Result<byte[]> bodyOf(HttpResponse<byte[]> response, String path) {
    return response.statusCode() == OK
        ? Result.success(response.body())
        : failed("status " + response.statusCode() + " for " + path);
  }

  private Result<PlatformValue> parseValue(byte[] json) {
    try {
      JsonNode item = mapper.readTree(json).path(0);
      byte[] content = item.path("Value").binaryValue();
      long revision = item.path("ModifyIndex").asLong(0);
      if (content == null || revision <= 0) {
        return failed("answer without value or revision");
      }
      if (content.length > Manifest.MAX_VALUE_BYTES) {
        return failed("value has " + content.length + " bytes, allowed: at most 1000000");
      }
      return Result.success(new PlatformValue(revision, content));
    } catch (IOException e) {
      return failed("answer is not readable: " + e.getMessage());
    }
  }

  private Result<List<ListedVm>> parseVms(byte[] json) {
    List<ListedVm> listed = new ArrayList<>();
    try {
      for (JsonNode vm : mapper.readTree(json)) {
        JsonNode meta = vm.path("Meta");
        listed.add(
            new ListedVm(
                vm.path("Address").asText(),
                meta.path("peer").asText(),
                meta.path("state").asText().equals("leaving")));
      }
    } catch (IOException e) {
      return failed("list of VMs is not readable: " + e.getMessage());
    }
    return Result.success(listed);
  }

  private <T> Result<T> failed(Throwable cause) {
    boolean wrapped = cause instanceof CompletionException && cause.getCause() != null;
    return failed(String.valueOf(wrapped ? cause.getCause() : cause));
  }

  private <T> Result<T> failed(String detail) {
    return Result.failed(Step.PLATFORM_READ, base.getAuthority(), detail);
  }
}
