package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.LongConsumer;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.tinylog.Logger;

/**
 * Measures how long the selector threads take to handle the events of one selection. What happens
 * on a connection meanwhile is seen that much later. Runs tasks after all that has arrived is
 * handled.
 *
 * <p>Safe for use by many threads. Invariant: the rounds of a runner are changed by its own thread
 * only.
 */
final class SelectorRounds extends DefaultSelectorHandler {

  /** Number of rounds back to which {@link #longestNanos} looks. */
  private static final int REMEMBERED = 4;

  private final Map<SelectorRunner, Rounds> roundsByRunner = new ConcurrentHashMap<>();
  private final LongConsumer listener;

  /** The current and the last rounds of a runner, in monotonic nanoseconds. */
  private static final class Rounds {
    private final AtomicLongArray last = new AtomicLongArray(REMEMBERED);
    private final Queue<Runnable> requested = new ConcurrentLinkedQueue<>();
    private List<Runnable> afterThisRound = List.of();
    private volatile long startNanos;
    private int next;

    /** Runs the tasks that were requested before the last selection. */
    void runTasks() {
      List<Runnable> due = afterThisRound;
      afterThisRound = List.of();
      for (Runnable task : due) {
        try {
          task.run();
        } catch (RuntimeException | StackOverflowError e) {
          Logger.error(e, "task after a selector round failed; other tasks are unaffected");
        }
      }
    }

    /** Returns whether tasks wait for the end of the round that begins now. */
    boolean takeRequested() {
      List<Runnable> taken = new ArrayList<>();
      for (Runnable task = requested.poll(); task != null; task = requested.poll()) {
        taken.add(task);
      }
      afterThisRound = taken;
      return !taken.isEmpty();
    }

    void end(long nanos) {
      last.set(next, nanos);
      next = (next + 1) % REMEMBERED;
    }
  }

  /** Creates a measurement; {@code listener} receives the duration of each round, in ns. */
  SelectorRounds(LongConsumer listener) {
    this.listener = listener;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Rounds rounds = rounds(runner);
    if (rounds.startNanos != 0) {
      long nanos = System.nanoTime() - rounds.startNanos;
      rounds.end(nanos);
      listener.accept(nanos);
    }
    rounds.startNanos = 0;
    rounds.runTasks();
    if (rounds.takeRequested()) {
      runner.getSelector().wakeup();
    }
    Set<SelectionKey> ready = super.select(runner);
    rounds.startNanos = System.nanoTime();
    return ready;
  }

  /**
   * Runs a task on a selector thread after it has handled everything that has arrived until now. A
   * task that is requested while the thread ends may not run.
   */
  void afterNextRound(SelectorRunner runner, Runnable task) {
    rounds(runner).requested.add(task);
    runner.getSelector().wakeup();
  }

  private Rounds rounds(SelectorRunner runner) {
    return roundsByRunner.computeIfAbsent(runner, key -> new Rounds());
  }

  /**
   * Returns the duration of the longest of the last rounds of a runner, the current one included as
   * far as it has come, in ns; 0 if it has had none.
   */
  long longestNanos(SelectorRunner runner, long nowNanos) {
    Rounds rounds = roundsByRunner.get(runner);
    if (rounds == null) {
      return 0;
    }
    long start = rounds.startNanos;
    long longest = start == 0 ? 0 : nowNanos - start;
    for (int i = 0; i < REMEMBERED; i++) {
      longest = Math.max(longest, rounds.last.get(i));
    }
    return longest;
  }
}
