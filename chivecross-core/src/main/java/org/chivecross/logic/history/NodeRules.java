package org.chivecross.logic.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.history.Violation;

/** Rules about upstreams and entries. Pure functions. */
final class NodeRules {

  private static final long LEAVING_GRACE_MICROS = TimeUnit.SECONDS.toMicros(2);
  private static final long PROPAGATION_LIMIT_MICROS = TimeUnit.SECONDS.toMicros(20);

  private NodeRules() {}

  /**
   * An upstream receives no new requests later than 2 s after the first evidence that it is
   * leaving.
   */
  static List<Violation> leaving(History history) {
    Map<String, Long> leavingSince = new HashMap<>();
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent event : history.all(HistoryEvent.class)) {
      if (event instanceof HistoryEvent.Leaving leaving) {
        leavingSince.putIfAbsent(leaving.upstream(), leaving.at());
      } else if (event instanceof HistoryEvent.Back back) {
        leavingSince.remove(back.upstream());
      } else if (event instanceof HistoryEvent.Run run) {
        Long since = leavingSince.get(run.upstream());
        if (since != null && run.at() - since > LEAVING_GRACE_MICROS) {
          String detail = "ran " + run.request() + " " + (run.at() - since) + " µs after leaving";
          violations.add(new Violation("leaving", run.upstream(), detail));
        }
      }
    }
    return violations;
  }

  /** A planned stop aborts no request in flight. */
  static List<Violation> gracefulStop(History history) {
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent.Stop stop : history.all(HistoryEvent.Stop.class)) {
      if (!stop.planned()) {
        continue;
      }
      Optional<HistoryEvent.Stopped> stopped = stoppedAfter(history, stop);
      if (stopped.isEmpty()) {
        violations.add(new Violation("graceful-stop", stop.node(), "never stopped"));
        continue;
      }
      if (stopped.get().inFlight() > 0) {
        String detail = "cut off " + stopped.get().inFlight() + " requests";
        violations.add(new Violation("graceful-stop", stop.node(), detail));
      }
      addCutOffRequests(history, stop, stopped.get(), violations);
    }
    return violations;
  }

  private static Optional<HistoryEvent.Stopped> stoppedAfter(
      History history, HistoryEvent.Stop stop) {
    return history.all(HistoryEvent.Stopped.class).stream()
        .filter(one -> one.node().equals(stop.node()) && one.at() >= stop.at())
        .findFirst();
  }

  private static void addCutOffRequests(
      History history,
      HistoryEvent.Stop stop,
      HistoryEvent.Stopped stopped,
      List<Violation> violations) {
    for (HistoryEvent.Broken broken : history.all(HistoryEvent.Broken.class)) {
      HistoryEvent.Call call = history.calls().get(broken.request());
      boolean isOfNode = call != null && call.entry().equals(stop.node());
      if (isOfNode && isDuringStop(broken, stop, stopped) && !broken.reason().equals("timeout")) {
        violations.add(new Violation("graceful-stop", stop.node(), "cut off " + broken.request()));
      }
    }
    for (HistoryEvent.Ran ran : history.all(HistoryEvent.Ran.class)) {
      boolean isOfNode = ran.upstream().equals(stop.node());
      if (isOfNode && isDuringStop(ran, stop, stopped) && !ran.complete()) {
        violations.add(new Violation("graceful-stop", stop.node(), "cut off " + ran.request()));
      }
    }
  }

  private static boolean isDuringStop(
      HistoryEvent event, HistoryEvent.Stop stop, HistoryEvent.Stopped stopped) {
    return event.at() >= stop.at() && event.at() <= stopped.at();
  }

  /**
   * The version in force at an entry never decreases, and a published version is in force at all
   * entries within 20 s.
   */
  static List<Violation> versionOrder(History history) {
    Map<String, Long> inForce = new HashMap<>();
    List<Violation> violations = new ArrayList<>();
    for (HistoryEvent.Config config : history.all(HistoryEvent.Config.class)) {
      long before = inForce.getOrDefault(config.entry(), Long.MIN_VALUE);
      if (config.version() < before) {
        String detail = "went back from " + before + " to " + config.version();
        violations.add(new Violation("version-order", config.entry(), detail));
      }
      inForce.merge(config.entry(), config.version(), Math::max);
    }
    for (HistoryEvent.Published published : history.all(HistoryEvent.Published.class)) {
      addOutdatedEntries(history, published, violations);
    }
    return violations;
  }

  private static void addOutdatedEntries(
      History history, HistoryEvent.Published published, List<Violation> violations) {
    long deadlineMicros = published.at() + PROPAGATION_LIMIT_MICROS;
    if (history.end() < deadlineMicros) {
      return;
    }
    TreeSet<String> outdated = new TreeSet<>();
    history.all(HistoryEvent.Config.class).stream()
        .filter(config -> config.at() <= published.at())
        .forEach(config -> outdated.add(config.entry()));
    history.all(HistoryEvent.Config.class).stream()
        .filter(config -> config.at() <= deadlineMicros && config.version() >= published.version())
        .forEach(config -> outdated.remove(config.entry()));
    history.all(HistoryEvent.Stop.class).stream()
        .filter(stop -> stop.at() <= deadlineMicros)
        .forEach(stop -> outdated.remove(stop.node()));
    for (String entry : outdated) {
      String detail = "has no version " + published.version() + " after 20 s";
      violations.add(new Violation("version-order", entry, detail));
    }
  }
}
