package org.chivecross.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Directory of one caller: the entries and the key prefix last received from an entry.
 *
 * <p>The answer is renewed in the background when half of its lifetime has passed; a failed renewal
 * is retried after 200 ms at the next entry or seed. Thread-safe.
 */
final class CallerDirectory {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final HttpClient client;
  private final String caller;
  private final List<String> seeds;
  private DirectoryAnswer answer;
  private long renewAtNanos;
  private boolean isRenewing;
  private int nextSource;

  /**
   * Creates the directory of a caller.
   *
   * @param firstSeed index of the seed to ask first; differs by caller to spread the load over the
   *     seeds
   */
  CallerDirectory(HttpClient client, String caller, List<String> seeds, int firstSeed) {
    this.client = client;
    nextSource = firstSeed;
    this.caller = caller;
    this.seeds = List.copyOf(seeds);
    answer = new DirectoryAnswer(seeds, "", 0);
  }

  /** Fetches the first answer and waits for it; asks each seed at most once. */
  void fetchInitial(long nowNanos) {
    for (int i = 0; i < seeds.size(); i++) {
      try {
        accept(client.send(request(), HttpResponse.BodyHandlers.ofString()), nowNanos);
        return;
      } catch (IOException e) {
        Logger.warn(
            "first directory answer of caller {} not received from a seed: {}",
            caller,
            e.toString());
        nextSource++;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Returns the current answer and starts its renewal if the renewal time has passed. */
  synchronized DirectoryAnswer current(long nowNanos) {
    if (nowNanos >= renewAtNanos && !isRenewing) {
      isRenewing = true;
      CompletableFuture<HttpResponse<String>> pending =
          client.sendAsync(request(), HttpResponse.BodyHandlers.ofString());
      pending.whenComplete(
          (response, failure) -> {
            if (failure == null) {
              accept(response, nowNanos);
            } else {
              scheduleRetry(nowNanos);
            }
          });
    }
    return answer;
  }

  private synchronized void scheduleRetry(long nowNanos) {
    nextSource++;
    renewAtNanos = nowNanos + RETRY_DELAY_NANOS;
    isRenewing = false;
  }

  private synchronized void accept(HttpResponse<String> response, long nowNanos) {
    isRenewing = false;
    try {
      JsonNode body = MAPPER.readTree(response.body());
      List<String> entries = new ArrayList<>();
      body.path("entries").forEach(entry -> entries.add(entry.asText()));
      if (response.statusCode() != 200 || entries.isEmpty()) {
        scheduleRetry(nowNanos);
        return;
      }
      long lifetime = TimeUnit.MILLISECONDS.toNanos(body.path("lifetimeMillis").asLong());
      answer = new DirectoryAnswer(entries, body.path("keyPrefix").asText(""), nowNanos + lifetime);
      nextSource = 0;
      renewAtNanos = nowNanos + lifetime / 2;
    } catch (IOException e) {
      Logger.warn("directory answer of caller {} not readable: {}", caller, e.toString());
      scheduleRetry(nowNanos);
    }
  }

  private synchronized HttpRequest request() {
    List<String> entries = answer.entries();
    boolean hasAnswer = answer.expiresNanos() != 0;
    String source =
        hasAnswer && nextSource < entries.size()
            ? entries.get(nextSource)
            : seeds.get(Math.floorMod(nextSource, seeds.size()));
    URI uri = URI.create("http://" + source + "/chivecross/entries?caller=" + caller);
    return HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).GET().build();
  }
}
