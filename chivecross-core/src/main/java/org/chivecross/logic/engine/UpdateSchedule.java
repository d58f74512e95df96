package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the services that the systems visit in a tick, so that a tick costs the same however many
 * targets there are.
 *
 * <p>Invariant: with up to {@link #TARGETS_PER_TICK} targets every service is visited in each tick;
 * with more, all services take turns, and each is visited again before any is left out twice. Not
 * thread-safe: belongs to the tick.
 */
final class UpdateSchedule {

  /** Targets from which on the services take turns. */
  static final int TARGETS_PER_TICK = 512;

  private final long[] lastUpdateTicks;
  private final List<ServicePlan> due = new ArrayList<>();
  private int cursor;
  private long tick;

  UpdateSchedule(int serviceCapacity) {
    lastUpdateTicks = new long[serviceCapacity];
  }

  /** Starts a tick and returns the services to visit; the list is valid until the next tick. */
  List<ServicePlan> startTick(List<ServicePlan> plans) {
    tick++;
    due.clear();
    int targets = 0;
    for (int i = 0; i < plans.size() && targets < TARGETS_PER_TICK; i++) {
      cursor = cursor < plans.size() ? cursor : 0;
      ServicePlan plan = plans.get(cursor);
      cursor++;
      due.add(plan);
      targets += plan.targets().length;
    }
    return due;
  }

  /** Marks the visit of a service and returns the ticks since the one before, at least 1. */
  int markUpdated(ServicePlan plan) {
    long last = lastUpdateTicks[plan.row()];
    lastUpdateTicks[plan.row()] = tick;
    return last == 0 ? 1 : (int) Math.max(1, Math.min(tick - last, Integer.MAX_VALUE));
  }
}
