package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chivecross.logic.balance.CandidateSystem;
import org.chivecross.logic.balance.Candidates;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.table.LeavingEvidence;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * Builds the status views of targets and services for the administration API, and the leaving marks
 * to send. Safe for use by many threads.
 */
final class EngineReport {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TargetTable targets;
  private final ServiceTable services;
  private final CandidateSystem candidateSystem;

  EngineReport(TargetTable targets, ServiceTable services, CandidateSystem candidateSystem) {
    this.targets = targets;
    this.services = services;
    this.candidateSystem = candidateSystem;
  }

  List<TargetStatus> targets(Topology topology, long nowNanos) {
    List<TargetStatus> statuses = new ArrayList<>();
    for (ServicePlan plan : topology.plans()) {
      for (int row : plan.targets()) {
        statuses.add(status(plan, row, nowNanos));
      }
    }
    return statuses;
  }

  List<ServiceStatus> services(Topology topology, Candidates[] candidates) {
    List<ServiceStatus> statuses = new ArrayList<>();
    for (ServicePlan plan : topology.plans()) {
      statuses.add(
          new ServiceStatus(
              plan.row(),
              plan.name(),
              plan.tenant(),
              services.inFlight(plan.row()),
              plan.targets().length,
              candidates[plan.row()].size(),
              services.meanLoad(plan.row()),
              services.latencyNanos(plan.row()) / NANOS_PER_MILLI));
    }
    return statuses;
  }

  List<LeavingMark> leavingMarks(Topology topology, long nowNanos) {
    List<LeavingMark> marks = new ArrayList<>();
    for (ServicePlan plan : topology.plans()) {
      for (int row : plan.targets()) {
        long newest = TargetTable.NEVER;
        for (LeavingEvidence kind : LeavingEvidence.values()) {
          if (targets.leaving().isMarked(row, kind)) {
            newest = Math.max(newest, targets.leaving().markedNanos(row, kind));
          }
        }
        if (newest != TargetTable.NEVER) {
          marks.add(new LeavingMark(targets.address(row), ageMillis(newest, nowNanos)));
        }
      }
    }
    return marks;
  }

  private TargetStatus status(ServicePlan plan, int row, long nowNanos) {
    long reported = targets.loads().reportNanos(row);
    LoadReport load =
        new LoadReport(
            targets.loads().reportedInService(row),
            targets.loads().reportedQueued(row),
            targets.slots(row));
    return new TargetStatus(
        row,
        targets.address(row),
        plan.name(),
        targets.dataCentre(row),
        targets.loads().inFlight(row),
        load,
        reported == TargetTable.NEVER ? -1 : ageMillis(reported, nowNanos),
        targets.health().successes(row),
        targets.health().failures(row),
        candidateSystem.weight(row, nowNanos),
        reasons(row, nowNanos));
  }

  private List<String> reasons(int row, long nowNanos) {
    List<String> reasons = new ArrayList<>();
    for (LeavingEvidence kind : LeavingEvidence.values()) {
      if (targets.leaving().isMarked(row, kind)) {
        String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        long age = ageMillis(targets.leaving().markedNanos(row, kind), nowNanos);
        reasons.add("leaving: " + name + ", seen " + age + " ms ago");
      }
    }
    long ejectedUntil = targets.health().ejectedUntilNanos(row);
    if (ejectedUntil != TargetTable.NEVER) {
      reasons.add(
          "ejected: failures in a row, for " + -ageMillis(ejectedUntil, nowNanos) + " ms more");
    } else if (targets.health().consecutiveFailures(row) > 0) {
      reasons.add(targets.health().consecutiveFailures(row) + " failures in a row");
    }
    long servingSince = targets.health().servingSinceNanos(row);
    if (servingSince != TargetTable.NEVER
        && nowNanos - servingSince < CandidateSystem.SLOW_START_NANOS) {
      reasons.add("ramping up: serving since " + ageMillis(servingSince, nowNanos) + " ms");
    }
    return reasons;
  }

  private static long ageMillis(long nanos, long nowNanos) {
    return (nowNanos - nanos) / NANOS_PER_MILLI;
  }
}
