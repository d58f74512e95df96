package org.chivecross.logic.dispatch;

import java.util.List;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.WeightedService;

/** Requests of one route of a simulation, and what became of them. Not thread-safe. */
final class RouteLoad {

  /** Request of a caller that sends it again after a refusal. */
  static final class Call {
    final RouteLoad load;
    final long firstNanos;
    int repeats;

    Call(RouteLoad load, long firstNanos, int repeats) {
      this.load = load;
      this.firstNanos = firstNanos;
      this.repeats = repeats;
    }

    /** Counts the response by the time at which the caller gets it. */
    void answered(long now) {
      if (now - firstNanos <= load.rule.latencyObjectiveMillis() * DispatchSimulation.MILLI) {
        load.inTime++;
      } else if (now <= deadlineNanos()) {
        load.late++;
      }
    }

    long deadlineNanos() {
      return firstNanos + load.rule.timeoutMillis() * DispatchSimulation.MILLI;
    }
  }

  final RouteRule rule;
  private final long workMillis;
  long growthNanos = Long.MAX_VALUE;
  int sent;
  int inTime;
  int late;

  RouteLoad(String name, int priority, long workMillis, long objective, long deadline) {
    List<WeightedService> services = List.of(new WeightedService("s", 1));
    String prefix = "/" + name + "/";
    RequestClass read = RequestClass.READ;
    rule = new RouteRule(name, "h", prefix, services, read, deadline, objective, 2, priority);
    this.workMillis = workMillis;
  }

  /** Returns the work at nominal speed, which grows sevenfold at a time. */
  long workMillis(long nowNanos) {
    return nowNanos < growthNanos ? workMillis : 7 * workMillis;
  }

  /** Returns the value for callers: one for a response in time, a tenth for a late one. */
  double value() {
    return inTime + 0.1 * late;
  }

  double servedFraction() {
    return (inTime + late) / (double) sent;
  }
}
