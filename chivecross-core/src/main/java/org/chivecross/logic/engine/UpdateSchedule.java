package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the services whose candidates, loads and ejections are updated in a tick, so that the
 * cost of a tick does not grow with the number of targets.
 *
 * <p>Invariant: with up to {@link #TARGETS_PER_TICK} targets every service is updated in each tick;
 * with more, the services are updated in rotation, and each is updated again before any other is
 * skipped twice. Not thread-safe: belongs to the tick.
 */
final class UpdateSchedule {

  /** Number of targets in a tick from which on the remaining services wait for a later tick. */
  static final int TARGETS_PER_TICK = 512;

  private final long[] lastUpdateTicks;
  private final List<ServicePlan> selected = new ArrayList<>();
  private int nextIndex;
  private long tick;

  UpdateSchedule(int serviceCapacity) {
    lastUpdateTicks = new long[serviceCapacity];
  }

  /** Starts a tick and returns the services to update; the list is valid until the next tick. */
  List<ServicePlan> startTick(List<ServicePlan> plans) {
    tick++;
    selected.clear();
    int targets = 0;
    for (int i = 0; i < plans.size() && targets < TARGETS_PER_TICK; i++) {
      nextIndex = nextIndex < plans.size() ? nextIndex : 0;
      ServicePlan plan = plans.get(nextIndex);
      nextIndex++;
      selected.add(plan);
      targets += plan.targets().length;
    }
    return selected;
  }

  /**
   * Marks a service as updated in this tick and returns the ticks since its previous update, at
   * least 1.
   */
  int markUpdated(ServicePlan plan) {
    long previousTick = lastUpdateTicks[plan.row()];
    lastUpdateTicks[plan.row()] = tick;
    return previousTick == 0
        ? 1
        : (int) Math.max(1, Math.min(tick - previousTick, Integer.MAX_VALUE));
  }
}
