package org.chivecross.logic.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongConsumer;
import org.chivecross.model.registry.RegisteredTarget;

/** Simulated target that serves one request at a time in each slot. Not thread-safe. */
final class FakeTarget {
  final RegisteredTarget registered;
  int running;
  int waiting;
  boolean ignoresProbes;
  double shedFraction;
  int requests;
  int queueBound = 4;

  /** Time that probes took since the last request began. */
  double owedMillis;

  final Deque<LongConsumer> queue = new ArrayDeque<>();

  FakeTarget(RegisteredTarget registered) {
    this.registered = registered;
  }

  /** Begins queued requests while slots are free, first come first served. */
  void startQueued(long now) {
    while (running < registered.slots() && !queue.isEmpty()) {
      running++;
      queue.remove().accept(now);
    }
    waiting = queue.size();
  }
}
