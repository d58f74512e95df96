package org.chivecross.cli.entry.metrics;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chivecross.cli.entry.http.ExchangeObserver;
import org.chivecross.cli.entry.http.ExchangeSummary;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.Outcome;

/** Prometheus metrics of the data path, by tenant and request class. Thread-safe. */
public final class EntryMetrics implements ExchangeObserver {

  private static final double SECONDS_PER_NANO = 1e-9;
  private static final String NO_TENANT = "";
  private static final String NO_CLASS = "";

  /** Upper bounds of the latency buckets, 0.1 ms to 30 s. */
  private static final double[] LATENCY_BUCKET_BOUNDS_SECONDS = {
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05,
    0.075, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30
  };

  private final PrometheusRegistry registry;
  private final IntFunction<Optional<String>> tenantOfService;
  private final Histogram request;
  private final Histogram upstream;
  private final Histogram queueWait;
  private final Histogram added;
  private final Counter requests;
  private final Counter attempts;
  private final Counter silentConnections;
  private final Counter suspectsClosed;
  private final Counter refusedHeads;
  private final Histogram selectorRounds;
  private final Counter droppedRequests;
  private final Counter unexpectedErrors;
  private final Map<Labels, DataPoints> dataPointsByLabels = new ConcurrentHashMap<>();

  /**
   * Creates the metrics and registers them.
   *
   * @param registry registry that the metrics are added to
   * @param tenantOfService returns the name of the tenant that owns a service, by its row
   */
  public EntryMetrics(PrometheusRegistry registry, IntFunction<Optional<String>> tenantOfService) {
    this.registry = registry;
    this.tenantOfService = tenantOfService;
    request =
        histogram(
            "chivecross_request_seconds",
            "From the head to the end of the answer",
            "tenant",
            "class");
    upstream =
        histogram(
            "chivecross_upstream_seconds", "From sending to the response head", "tenant", "class");
    queueWait =
        histogram(
            "chivecross_queue_wait_seconds",
            "From readiness to the first attempt",
            "tenant",
            "class");
    added =
        histogram(
            "chivecross_added_seconds",
            "Time to the response head spent in this entry",
            "tenant",
            "class");
    requests =
        counter("chivecross_requests", "Requests that are over", "tenant", "class", "outcome");
    attempts = counter("chivecross_attempts", "Attempts at targets", "tenant", "class");
    silentConnections = counter("chivecross_silent_connections", "Connections found silent");
    suspectsClosed =
        counter("chivecross_suspects_closed", "Idle connections closed beside a silent one");
    refusedHeads = counter("chivecross_refused_heads", "Malformed requests", "status");
    droppedRequests =
        counter(
            "chivecross_requests_dropped_unsent",
            "Requests that were not sent since their callers had left");
    unexpectedErrors =
        counter("chivecross_unexpected_errors", "Requests that an unexpected error has ended");
    selectorRounds =
        histogram(
            "chivecross_selector_round_seconds",
            "Time that a selector thread takes to handle the events of one selection");
  }

  /** Registers a gauge whose value is read on each scrape. */
  public void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }

  /** Registers a gauge with one value for each value of a label, read on each scrape. */
  public void gauges(
      String name, String help, String label, Supplier<Map<String, Double>> valuesByLabel) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .callback(
            callback ->
                valuesByLabel
                    .get()
                    .forEach((labelValue, value) -> callback.call(value, labelValue)))
        .register(registry);
  }

  /** Registers a counter whose value is read on each scrape. */
  public void counter(String name, String help, LongSupplier value) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }

  @Override
  public void ended(ExchangeSummary summary) {
    DataPoints points =
        dataPointsByLabels.computeIfAbsent(labelsOf(summary.route()), DataPoints::new);
    points.request.observe(summary.totalNanos() * SECONDS_PER_NANO);
    points.outcomes[summary.outcome().ordinal()].inc();
    if (summary.attempts() > 0) {
      points.attempts.inc(summary.attempts());
      points.queueWait.observe(summary.queueNanos() * SECONDS_PER_NANO);
    }
    if (summary.upstreamNanos() > 0) {
      points.upstream.observe(summary.upstreamNanos() * SECONDS_PER_NANO);
      points.added.observe(summary.addedNanos() * SECONDS_PER_NANO);
    }
  }

  @Override
  public void silentConnectionFound(int closed) {
    silentConnections.inc();
    suspectsClosed.inc(closed);
  }

  @Override
  public void droppedUnsent() {
    droppedRequests.inc();
  }

  @Override
  public void failedUnexpectedly() {
    unexpectedErrors.inc();
  }

  @Override
  public void selectorRoundEnded(long nanos) {
    selectorRounds.observe(nanos * SECONDS_PER_NANO);
  }

  @Override
  public void headRefused(int status) {
    refusedHeads.labelValues(Integer.toString(status)).inc();
  }

  /**
   * Writes all metrics in the Prometheus text format.
   *
   * @throws IOException if {@code out} fails
   */
  public void write(OutputStream out) throws IOException {
    new PrometheusTextFormatWriter(true).write(out, registry.scrape());
  }

  private Labels labelsOf(Optional<Route> route) {
    if (route.isEmpty()) {
      return new Labels(NO_TENANT, NO_CLASS);
    }
    return new Labels(
        tenantOfService.apply(route.get().service()).orElse(NO_TENANT),
        route.get().requestClass().name());
  }

  private Histogram histogram(String name, String help, String... labels) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames(labels)
        .classicOnly()
        .classicUpperBounds(LATENCY_BUCKET_BOUNDS_SECONDS)
        .register(registry);
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Label values that identify a group of requests. */
  private record Labels(String tenant, String requestClass) {}

  /** Data points of one group of requests, looked up once. Thread-safe. */
  private final class DataPoints {

    private final DistributionDataPoint request;
    private final DistributionDataPoint upstream;
    private final DistributionDataPoint queueWait;
    private final DistributionDataPoint added;
    private final CounterDataPoint attempts;
    private final CounterDataPoint[] outcomes = new CounterDataPoint[Outcome.values().length];

    DataPoints(Labels labels) {
      String requestClass = labels.requestClass().toLowerCase(Locale.ROOT);
      request = EntryMetrics.this.request.labelValues(labels.tenant(), requestClass);
      upstream = EntryMetrics.this.upstream.labelValues(labels.tenant(), requestClass);
      queueWait = EntryMetrics.this.queueWait.labelValues(labels.tenant(), requestClass);
      added = EntryMetrics.this.added.labelValues(labels.tenant(), requestClass);
      attempts = EntryMetrics.this.attempts.labelValues(labels.tenant(), requestClass);
      for (Outcome outcome : Outcome.values()) {
        outcomes[outcome.ordinal()] =
            requests.labelValues(labels.tenant(), requestClass, outcome.headerValue());
      }
    }
  }
}
