package org.chivecross.logic.dispatch;

import java.util.Arrays;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Ranks the targets of a service for one request, by their load reports and the failures that this
 * entry saw. Keeps no state. Not thread-safe.
 */
final class TargetRanking {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * Age up to which a report still indicates the queue length of a target: a few nominal response
   * times.
   */
  private static final long RECENT_REPORT_NANOS = 300 * NANOS_PER_MILLI;

  /** Age up to which a report of a slow or busy target makes it less likely to be probed. */
  private static final long BAD_REPORT_NANOS = 120 * NANOS_PER_MILLI;

  /** Penalty of such a target in the probe order, equal to that of one in another data centre. */
  private static final double BAD_REPORT_PENALTY = 1.0;

  /**
   * Expected response time, as a multiple of the nominal one, up to which a target is chosen
   * without more probes.
   */
  private static final double GOOD_ENOUGH_FACTOR = 1.4;

  /**
   * Penalty in the probe order of a target to which this entry has no kept connection; a new one
   * costs a round trip, and the target time.
   */
  private static final double UNCONNECTED_PENALTY = 0.8;

  /** Fraction of probes without that penalty, so that all entries use all targets, new ones too. */
  private static final double EXPLORING_FRACTION = 0.1;

  /**
   * Penalty of the last preferred target; that of the others is proportional to their rank. Each
   * target is the first one of about as many entries, which makes collisions rarer. With larger
   * penalties, the connections to the last ones are closed before they are used again.
   */
  private static final double RANK_PENALTY = 2.0;

  /**
   * Penalty of a target that is not preferred, while others are; large enough that preferred
   * targets without failures and bad reports come first.
   */
  private static final double NOT_PREFERRED_PENALTY = 1 + UNCONNECTED_PENALTY + RANK_PENALTY;

  /** Probes of a placement after which preferred targets and the data centre no longer count. */
  private static final int MAX_PREFERRED_PROBES = 3;

  /** Age up to which a report of a slow or full target makes a new probe useless. */
  private static final long USELESS_PROBE_NANOS = 30 * NANOS_PER_MILLI;

  /** Penalty of each remembered failure in the probe order. */
  private static final double FAILURE_PENALTY = 2.0;

  private final DispatchTargetTable targets;
  private final ExpectedResponseTime expectedTimes;
  private final ResponseTimeEstimates responseTimes;
  private final DispatchPreferences preferences;
  private final PreferredTargets preferred;
  private final RandomGenerator random;

  TargetRanking(
      DispatchTargetTable targets,
      ExpectedResponseTime expectedTimes,
      ResponseTimeEstimates responseTimes,
      DispatchPreferences preferences,
      PreferredTargets preferred,
      RandomGenerator random) {
    this.targets = targets;
    this.expectedTimes = expectedTimes;
    this.responseTimes = responseTimes;
    this.preferences = preferences;
    this.preferred = preferred;
    this.random = random;
  }

  /**
   * Returns the expected response time of a target, in ms; very large for {@link
   * DispatchTargetTable#NONE}.
   */
  double expectedMillis(PlacementTicket ticket, int row, long nowNanos) {
    if (row == DispatchTargetTable.NONE) {
      return Double.MAX_VALUE;
    }
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    return expectedTimes.millis(row, nominalMillis, nowNanos);
  }

  /** Returns the response time of a free target at nominal speed, in ms. */
  double nominalMillis(PlacementTicket ticket) {
    return responseTimes.nominalMillis(ticket.route());
  }

  /**
   * Returns the penalty of a target in another data centre, in ms. Large bodies stay in the data
   * centre unless its targets would miss the latency objective.
   */
  double crossDataCentreMillis(PlacementTicket ticket, int row) {
    long bytes = ticket.bodyBytes() + responseTimes.bodyBytes(ticket.route());
    return expectedTimes.crossDataCentreMillis(row, bytes, ticket.route().latencyObjectiveMillis());
  }

  /** Returns whether a target is chosen without probing more targets. */
  boolean isGoodEnough(PlacementTicket ticket, int row, int[] rows, long nowNanos) {
    double minFailures = targets.minFailures(rows, nowNanos);
    return rankingMillis(ticket, row, minFailures, nowNanos) <= goodEnoughMillis(ticket);
  }

  /** Returns the time up to which a target is chosen without probing more targets, in ms. */
  double goodEnoughMillis(PlacementTicket ticket) {
    return responseTimes.nominalMillis(ticket.route()) * GOOD_ENOUGH_FACTOR;
  }

  /** Returns rows in the order of ranking, the best one first, whatever the age of the reports. */
  int[] inOrder(PlacementTicket ticket, int[] rows, long nowNanos) {
    double minFailures = targets.minFailures(rows, nowNanos);
    return Arrays.stream(rows)
        .boxed()
        .sorted(
            Comparator.comparingDouble(row -> rankingMillis(ticket, row, minFailures, nowNanos)))
        .mapToInt(Integer::intValue)
        .toArray();
  }

  /**
   * Returns the best target by recent reports, including those from earlier slow phases: such a
   * target may be better than one whose new report says that it is slow. Without a recent report,
   * returns the best target by any report.
   */
  int bestByRecentReports(PlacementTicket ticket, int[] rows, long nowNanos) {
    int best = best(ticket, rows, RECENT_REPORT_NANOS, nowNanos);
    return best == DispatchTargetTable.NONE ? best(ticket, rows, Long.MAX_VALUE, nowNanos) : best;
  }

  /** Returns the best untried target whose report is at most {@code maxAgeNanos} old. */
  int best(PlacementTicket ticket, int[] rows, long maxAgeNanos, long nowNanos) {
    int best = DispatchTargetTable.NONE;
    double least = Double.MAX_VALUE;
    double minFailures = targets.minFailures(rows, nowNanos);
    for (int row : rows) {
      if (ticket.isTried(row) || !targets.hasReportWithin(row, maxAgeNanos, nowNanos)) {
        continue;
      }
      double millis = rankingMillis(ticket, row, minFailures, nowNanos);
      if (millis < least) {
        least = millis;
        best = row;
      }
    }
    return best;
  }

  /**
   * Returns the target to probe next: at random, preferring those in the same data centre, those
   * with a kept connection and those without failures; and before these the preferred targets of
   * the service, if there are any.
   */
  int nextToProbe(PlacementTicket ticket, int[] rows, long nowNanos) {
    if (preferred.isInForce(ticket.service())) {
      return nextPreferredToProbe(ticket, rows, nowNanos);
    }
    double unconnectedPenalty = random.nextDouble() < EXPLORING_FRACTION ? 0 : UNCONNECTED_PENALTY;
    int next = DispatchTargetTable.NONE;
    double least = Double.MAX_VALUE;
    for (int row : rows) {
      if (ticket.isTried(row) || ticket.isProbed(row)) {
        continue;
      }
      double order =
          random.nextDouble()
              + crossDataCentreOrder(ticket, row)
              + (targets.isConnected(row, nowNanos) ? 0 : unconnectedPenalty)
              + FAILURE_PENALTY * targets.failures(row, nowNanos)
              + (hadBadReport(ticket, row, BAD_REPORT_NANOS, nowNanos) ? BAD_REPORT_PENALTY : 0);
      if (order < least) {
        least = order;
        next = row;
      }
    }
    return next;
  }

  /**
   * Returns the target to probe next of a service with preferred targets. After some probes in vain
   * all targets are equal, so that the request finds free ones in other data centres.
   */
  private int nextPreferredToProbe(PlacementTicket ticket, int[] rows, long nowNanos) {
    int added = newTargetToProbe(ticket, rows, nowNanos);
    if (added != DispatchTargetTable.NONE) {
      return added;
    }
    boolean mayPrefer = ticket.probeCount() < MAX_PREFERRED_PROBES;
    int next = DispatchTargetTable.NONE;
    double least = Double.MAX_VALUE;
    for (int row : rows) {
      if (ticket.isTried(row)
          || ticket.isProbed(row)
          || hadBadReport(ticket, row, USELESS_PROBE_NANOS, nowNanos)) {
        continue;
      }
      double order =
          random.nextDouble()
              + (targets.isConnected(row, nowNanos) ? 0 : UNCONNECTED_PENALTY)
              + FAILURE_PENALTY * targets.failures(row, nowNanos);
      boolean hadBadReport = hadBadReport(ticket, row, BAD_REPORT_NANOS, nowNanos);
      if (hadBadReport) {
        order += BAD_REPORT_PENALTY;
      }
      if (mayPrefer) {
        order += crossDataCentreOrder(ticket, row);
        boolean isPreferred = !hadBadReport && preferred.isPreferred(ticket.service(), row);
        order +=
            isPreferred
                ? RANK_PENALTY * preferred.rank(ticket.service(), row)
                : NOT_PREFERRED_PENALTY;
      }
      if (order < least) {
        least = order;
        next = row;
      }
    }
    return next;
  }

  private int newTargetToProbe(PlacementTicket ticket, int[] rows, long nowNanos) {
    if (ticket.probeCount() > 0) {
      return DispatchTargetTable.NONE;
    }
    int added = preferred.newTargetToProbe(ticket.service(), rows, random, nowNanos);
    boolean isTried = added != DispatchTargetTable.NONE && ticket.isTried(added);
    return isTried ? DispatchTargetTable.NONE : added;
  }

  private double crossDataCentreOrder(PlacementTicket ticket, int row) {
    return crossDataCentreMillis(ticket, row) / preferences.crossDataCentreMillis();
  }

  private boolean hadBadReport(PlacementTicket ticket, int row, long maxAgeNanos, long nowNanos) {
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    return targets.hasReportWithin(row, maxAgeNanos, nowNanos)
        && expectedMillis(ticket, row, nowNanos) > nominalMillis * GOOD_ENOUGH_FACTOR;
  }

  /** Returns the expected response time of a target plus its penalties, in ms. */
  double rankingMillis(PlacementTicket ticket, int row, double minFailures, long nowNanos) {
    if (row == DispatchTargetTable.NONE) {
      return Double.MAX_VALUE;
    }
    double nominalMillis = responseTimes.nominalMillis(ticket.route());
    return expectedTimes.millis(row, nominalMillis, nowNanos)
        + crossDataCentreMillis(ticket, row)
        + expectedTimes.failurePenaltyMillis(row, nominalMillis, minFailures, nowNanos);
  }
}
