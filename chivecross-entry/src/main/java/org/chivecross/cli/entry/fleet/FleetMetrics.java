package org.chivecross.cli.entry.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.logic.admission.OverloadLevels;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.wire.fleet.FleetSocket;

/** Metrics of an entry that runs on the platform. Stateless. */
final class FleetMetrics {

  private static final int OK = 200;

  private FleetMetrics() {}

  /**
   * Returns the routes that serve the metrics and explanations of placements; the dispatcher is
   * read while {@code lock} is held.
   */
  static LocalRoutes routes(EntryMetrics metrics, Object lock, Dispatcher dispatcher) {
    ExplainPage explanations = new ExplainPage(lock, dispatcher);
    metrics.counter(
        "chivecross_explanations", "Explanations of placements", explanations::answeredCount);
    return new LocalRoutes(
        "/",
        Map.of(
            "/metrics",
            (request, responder) -> responder.accept(page(metrics, request)),
            "/explain",
            explanations));
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
    addPreferenceMetrics(metrics, lock, dataPath, dispatcher);
  }

  /** Registers the use of preferred targets and what it is to reduce. */
  private static void addPreferenceMetrics(
      EntryMetrics metrics, Object lock, DataPath dataPath, Dispatcher dispatcher) {
    metrics.counter(
        "chivecross_upstream_connections_opened",
        "New connections to targets, for requests and probes, and to entries that take requests over",
        dataPath::openedUpstreamCount);
    metrics.counter(
        "chivecross_placement_collisions",
        "Requests refused or reset by targets that had reported a free slot just before",
        guarded(lock, dispatcher::collisionCount));
    metrics.counter(
        "chivecross_requests_on_preferred_targets",
        "Requests sent to preferred targets",
        guarded(lock, () -> dispatcher.preferred().requestCount()));
    metrics.gauge(
        "chivecross_services_with_preferred_targets",
        "Services of which this entry prefers some targets",
        guarded(lock, () -> dispatcher.preferred().sizes().size()));
  }

  /** Registers whether the entry lacks processor time. */
  static void addStrainGauges(EntryMetrics metrics, StrainMonitor strain) {
    metrics.gauge(
        "chivecross_strained",
        "1 while this entry lacks processor time and leaves directory answers, otherwise 0",
        () -> strain.isStrained() ? 1 : 0);
    metrics.gauge(
        "chivecross_scheduler_delay_micros",
        "Mean delay of the scheduler's wake-ups in the last second or few, in microseconds",
        strain::delayMicros);
    metrics.gauge(
        "chivecross_late_wake_ups_percent",
        "Percentage of these wake-ups that were more than 20 ms late",
        strain::latePercent);
    metrics.gauge(
        "chivecross_standstill_percent",
        "Percentage of that time in which the process was seen to stand still",
        strain::standstillPercent);
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

  /** Registers what is known of overload and of the order of requests under it. */
  static void addOrderMetrics(
      EntryMetrics metrics, Object lock, OverloadLevels levels, Dispatcher dispatcher) {
    metrics.gauges(
        "chivecross_service_pressure",
        "Slots in use and queued requests of the targets of a service, relative to their slots",
        "service",
        () -> {
          synchronized (lock) {
            return levels.pressures(System.nanoTime());
          }
        });
    metrics.counter(
        "chivecross_service_loads_rejected",
        "Invalid pressures advertised by other entries, counted each time that they are read",
        guarded(lock, levels::invalidCount));
    metrics.counter(
        "chivecross_requests_yielded",
        "Requests that left a target to others while their service was under pressure",
        guarded(lock, () -> dispatcher.orderCounts().yielded()));
    metrics.counter(
        "chivecross_requests_refused_for_deadline",
        "Requests refused under pressure since no target would have met their deadline",
        guarded(lock, () -> dispatcher.orderCounts().refusedForDeadline()));
    metrics.counter(
        "chivecross_requests_refused_for_urgency",
        "Requests refused under pressure since more urgent routes were served less often",
        guarded(lock, () -> dispatcher.orderCounts().refusedForUrgency()));
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
