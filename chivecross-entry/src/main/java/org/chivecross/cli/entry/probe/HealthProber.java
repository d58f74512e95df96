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
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.HealthReport;
import org.chivecross.logic.probe.Probe;
import org.chivecross.model.request.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Asks targets for their health when the engine wants it, and tells the engine what came back.
 *
 * <p>Invariant: each probe ends once, with an answer or without, and is cancelled at its deadline.
 * The engine is called by the thread of {@link #tick} alone; that is the engine's own.
 */
public final class HealthProber {

  /** Path that a target answers health requests on. */
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
   * A probe that is over.
   *
   * @param target row of the target
   * @param answer what it said, if it answered
   * @param startNanos time at which the probe was sent
   * @param bytes bytes sent and received
   */
  private record EndedProbe(int target, Optional<HealthReport> answer, long startNanos, long bytes) {}

  /** Creates a prober of one engine's targets. */
  public HealthProber(BalancerEngine engine) {
    this.engine = engine;
  }

  /** Tells the engine about ended probes and sends the ones that it wants now. */
  public void tick(long nowNanos) {
    for (EndedProbe end = endedProbes.poll(); end != null; end = endedProbes.poll()) {
      engine.probeEnded(end.target(), end.answer(), end.startNanos(), end.bytes(), nowNanos);
    }
    List<Probe> due = engine.takeProbes(nowNanos);
    due.forEach(probe -> send(probe, nowNanos));
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
    if (response == null) {
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
