package org.chivecross.cli.entry.probe;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivecross.cli.entry.http.ParsedResponseHeads;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.HealthReport;
import org.chivecross.logic.probe.Probe;
import org.chivecross.model.request.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Sends the health probes that the engine requests and passes their results to the engine.
 *
 * <p>Invariant: each probe ends exactly once, with or without an answer, and is cancelled at its
 * deadline. Only the thread of {@link #tick} calls the engine; it must be the engine's thread.
 */
public final class HealthProber {

  /** Path of a target's health check. */
  public static final String HEALTH_PATH = "/health";

  private static final int OK = 200;
  private static final int ESTIMATED_HEAD_BYTES = 200;
  private static final Pattern LOAD_FORMAT =
      Pattern.compile("in-service=(\\d{1,9})[,;]\\s*queued=(\\d{1,9})[,;]\\s*slots=(\\d{1,9})");

  private final BalancerEngine engine;
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Queue<EndedProbe> endedProbes = new ConcurrentLinkedQueue<>();

  /**
   * Result of a probe.
   *
   * @param target row of the target
   * @param answer its health report; empty without a valid answer
   * @param startNanos monotonic time at which the probe was sent
   * @param bytes estimated number of bytes sent and received
   */
  private record EndedProbe(
      int target, Optional<HealthReport> answer, long startNanos, long bytes) {}

  /** Creates a prober for the targets of one engine. */
  public HealthProber(BalancerEngine engine) {
    this.engine = engine;
  }

  /** Passes the results of ended probes to the engine and sends the probes that it requests. */
  public void tick(long nowNanos) {
    for (EndedProbe probe = endedProbes.poll(); probe != null; probe = endedProbes.poll()) {
      engine.probeEnded(
          probe.target(), probe.answer(), probe.startNanos(), probe.bytes(), nowNanos);
    }
    List<Probe> requested = engine.takeProbes(nowNanos);
    requested.forEach(probe -> send(probe, nowNanos));
  }

  private void send(Probe probe, long nowNanos) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + engine.address(probe.target()) + HEALTH_PATH))
            .timeout(Duration.ofNanos(Math.max(1, probe.deadlineNanos() - nowNanos)))
            .build();
    http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .whenComplete((response, failure) -> recordEnd(probe.target(), response, nowNanos));
  }

  private void recordEnd(int target, @Nullable HttpResponse<byte[]> response, long startNanos) {
    if (response == null || ParsedResponseHeads.faultOf(response).isPresent()) {
      endedProbes.add(new EndedProbe(target, Optional.empty(), startNanos, ESTIMATED_HEAD_BYTES));
      return;
    }
    HttpHeaders headers = response.headers();
    boolean leaving = headers.firstValue("Chivecross-Leaving").filter("1"::equals).isPresent();
    Optional<HealthReport> report =
        response.statusCode() == OK || leaving
            ? Optional.of(new HealthReport(leaving, parseLoad(headers)))
            : Optional.empty();
    endedProbes.add(new EndedProbe(target, report, startNanos, countBytes(response)));
  }

  private static Optional<LoadReport> parseLoad(HttpHeaders headers) {
    Matcher matcher = LOAD_FORMAT.matcher(headers.firstValue("Chivecross-Load").orElse(""));
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new LoadReport(
            Integer.parseInt(matcher.group(1)),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3))));
  }

  private static long countBytes(HttpResponse<byte[]> response) {
    long count = ESTIMATED_HEAD_BYTES + response.body().length;
    for (Map.Entry<String, List<String>> header : response.headers().map().entrySet()) {
      for (String value : header.getValue()) {
        count += header.getKey().length() + value.length();
      }
    }
    return count;
  }
}
