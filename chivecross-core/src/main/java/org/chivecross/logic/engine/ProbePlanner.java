package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.chivecross.logic.probe.Probe;
import org.chivecross.logic.probe.ProbeCost;
import org.chivecross.logic.probe.ProbeSystem;
import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/**
 * Decides which targets to probe: those marked as leaving, since only a probe can show that they
 * serve again, and those of a service with requests in flight whose load report is missing or
 * stale.
 *
 * <p>Not thread-safe except {@link #cost}: the engine calls it from one thread at a time.
 */
final class ProbePlanner {

  private static final long STALE_REPORT_NANOS = 2_000_000_000L;

  private final TargetTable targets;
  private final ServiceTable services;
  private final ProbeSystem pacing;
  private final AtomicLong probes = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicLong spentSlotMicros = new AtomicLong();
  private long startNanos = TargetTable.NEVER;

  ProbePlanner(TargetTable targets, ServiceTable services, ProbeSystem pacing) {
    this.targets = targets;
    this.services = services;
    this.pacing = pacing;
  }

  List<Probe> takeDue(Topology topology, long nowNanos) {
    List<Probe> due = new ArrayList<>();
    for (ServicePlan plan : topology.plans()) {
      boolean isBusy = services.inFlight(plan.row()) > 0;
      for (int row : plan.targets()) {
        if (needsProbe(row, isBusy, nowNanos) && pacing.tryStart(row, nowNanos)) {
          due.add(new Probe(row, nowNanos + ProbeSystem.TIMEOUT_NANOS));
          probes.incrementAndGet();
          spentSlotMicros.addAndGet((long) (plan.probeMillis() * 1_000));
        }
      }
    }
    return due;
  }

  boolean end(int row, long byteCount, long nowNanos) {
    bytes.addAndGet(byteCount);
    return pacing.end(row, nowNanos);
  }

  ProbeCost cost(Topology topology, long nowNanos) {
    double allowedMillisPerNano = 0;
    for (ServicePlan plan : topology.plans()) {
      allowedMillisPerNano += plan.allowedProbeMillisPerNano();
    }
    long elapsed = startNanos == TargetTable.NEVER ? 0 : nowNanos - startNanos;
    return new ProbeCost(
        probes.get(), bytes.get(), spentSlotMicros.get() / 1e3, allowedMillisPerNano * elapsed);
  }

  void start(long nowNanos) {
    if (startNanos == TargetTable.NEVER) {
      startNanos = nowNanos;
    }
  }

  private boolean needsProbe(int row, boolean isBusy, long nowNanos) {
    if (targets.leaving().isLeaving(row)) {
      return true;
    }
    long reported = targets.loads().reportNanos(row);
    return isBusy && (reported == TargetTable.NEVER || nowNanos - reported > STALE_REPORT_NANOS);
  }
}
