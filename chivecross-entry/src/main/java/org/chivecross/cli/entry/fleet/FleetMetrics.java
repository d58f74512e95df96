package org.chivecross.cli.entry.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import org.chivecross.cli.entry.http.BufferBudget;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.wire.fleet.FleetSocket;

/** Metrics of an entry that runs on the platform. Stateless. */
final class FleetMetrics {

  private static final int OK = 200;

  private FleetMetrics() {}

  /** Returns the routes that serve the metrics. */
  static LocalRoutes routes(EntryMetrics metrics) {
    return new LocalRoutes(
        "/", Map.of("/metrics", (request, responder) -> responder.accept(page(metrics, request))));
  }

  /**
   * Registers gauges and counters of the entry's state; the node and the dispatcher are read while
   * {@code lock} is held.
   */
  static void addGauges(
      EntryMetrics metrics,
      Object lock,
      DataPath dataPath,
      FleetSocket socket,
      FleetNode node,
      Dispatcher dispatcher,
      StoreReader store) {
    metrics.gauge("chivecross_in_flight", "Requests in flight", dataPath::inFlightCount);
    metrics.gauge("chivecross_callers", "Open connections of callers", dataPath::callerCount);
    metrics.counter("chivecross_peer_sent", "Messages sent to entries", socket::sentCount);
    metrics.counter(
        "chivecross_peer_received", "Messages received from entries", socket::receivedCount);
    metrics.counter("chivecross_peer_dropped", "Messages dropped", socket::droppedCount);
    metrics.counter(
        "chivecross_store_values_rejected",
        "Malformed values of the platform's store that were ignored",
        store::rejectedValueCount);
    metrics.counter(
        "chivecross_rules_assumptions",
        "Fields of rules that got a default because they were not understood",
        store::assumptionCount);
    metrics.gauge(
        "chivecross_view_age_millis",
        "Age of what is known of the platform's store in ms",
        guarded(lock, () -> node.viewAgeMillis(System.nanoTime())));
    metrics.gauge(
        "chivecross_rules_version",
        "Version of the rules in force",
        guarded(lock, () -> node.rules().map(RuleSet::version).orElse(0L)));
    metrics.gauge(
        "chivecross_usable_targets",
        "Targets that may get requests",
        guarded(lock, dispatcher::usableTargets));
    metrics.gauge(
        "chivecross_entries",
        "Entries known to be alive, this one included",
        guarded(lock, () -> node.others(System.nanoTime()).size() + 1L));
    addTargetGauges(metrics, lock, node, dispatcher);
    addBufferGauges(metrics, dataPath.budget());
  }

  /** Registers what is buffered for slow callers and targets, and what was done about it. */
  private static void addBufferGauges(EntryMetrics metrics, BufferBudget budget) {
    metrics.gauge(
        "chivecross_buffered_bytes",
        "Bytes buffered for callers and targets that read slowly",
        budget::heldBytes);
    metrics.counter(
        "chivecross_requests_refused_for_memory",
        "Requests refused since too much is buffered",
        budget::refusalCount);
    metrics.counter(
        "chivecross_connections_ended_for_memory",
        "Connections ended whose peers read nothing while too much was buffered",
        budget::endedCount);
    metrics.counter(
        "chivecross_attempts_cancelled",
        "Attempts cancelled since their caller closed its connection",
        budget::cancelledCount);
  }

  /** Registers what is known of targets and requests that get special treatment. */
  private static void addTargetGauges(
      EntryMetrics metrics, Object lock, FleetNode node, Dispatcher dispatcher) {
    metrics.gauge(
        "chivecross_isolated",
        "1 while this entry reaches no target and forwards its requests, otherwise 0",
        guarded(lock, () -> dispatcher.forwarding().isIsolated() ? 1 : 0));
    metrics.counter(
        "chivecross_requests_forwarded",
        "Requests forwarded to other entries",
        guarded(lock, () -> dispatcher.forwarding().forwardedCount()));
    metrics.gauge(
        "chivecross_limited_targets",
        "Targets that named a request limit for all entries together",
        guarded(lock, () -> node.evidence().limitCount()));
    metrics.gauge(
        "chivecross_cold_targets",
        "Targets that warm up",
        guarded(lock, () -> node.evidence().warmUpCount()));
    metrics.gauge(
        "chivecross_evacuated_data_centres",
        "Data centres to whose targets nothing is sent",
        guarded(lock, () -> node.evacuated().size()));
    metrics.counter(
        "chivecross_requests_on_limited_targets",
        "Requests placed on targets that have a request limit or warm up",
        guarded(lock, dispatcher::limitedCount));
    metrics.gauge(
        "chivecross_blocked_fingerprints",
        "Requests that are kept from targets because several targets ended under them",
        guarded(lock, () -> node.evidence().blockedRequestCount()));
    metrics.counter(
        "chivecross_requests_blocked",
        "Times that such a request was refused",
        guarded(lock, () -> dispatcher.crashes().blockedCount()));
  }

  private static LocalResponse page(EntryMetrics metrics, LocalRequest request) {
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      metrics.write(out);
      return new LocalResponse(OK, Map.of(), "text/plain", out.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(
          "metrics could not be written for " + request.callerAddress(), e);
    }
  }

  private static LongSupplier guarded(Object lock, LongSupplier value) {
    return () -> {
      synchronized (lock) {
        return value.getAsLong();
      }
    };
  }
}
