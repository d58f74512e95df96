package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.chivecross.cli.log.EventLog;
import org.glassfish.grizzly.EmptyCompletionHandler;

/**
 * The bytes that are buffered for one connection: those held by exchanges, and those that the
 * library queues for writing.
 *
 * <p>Invariant: the budget contains {@code held + ahead + counted} of each open account and nothing
 * of a closed one. Safe for use by many threads; waiting actions run without the lock.
 */
final class BufferAccount {

  private final BufferBudget budget;
  private final IntSupplier queuedBytes;
  private final Runnable terminate;
  private final Supplier<String> peer;
  private final List<Waiter> waiters = new ArrayList<>();
  private long held;
  private long ahead;
  private long queued;
  private long shared;
  private long counted;
  private long sampledBytes;
  private long progressNanos = System.nanoTime();
  private boolean progressed;
  private boolean closed;

  BufferAccount(
      BufferBudget budget, Supplier<String> peer, IntSupplier queuedBytes, Runnable terminate) {
    this.peer = peer;
    this.budget = budget;
    this.queuedBytes = queuedBytes;
    this.terminate = terminate;
  }

  BufferBudget budget() {
    return budget;
  }

  /** Adds bytes that an exchange keeps; negative when it no longer keeps them. */
  synchronized void hold(long bytes) {
    if (!closed) {
      held += bytes;
      budget.add(bytes);
    }
  }

  /** Adds requests that were read ahead; these wait for space and must not keep it from others. */
  synchronized void holdAhead(long bytes) {
    if (!closed) {
      ahead += bytes;
      budget.add(bytes);
    }
  }

  /** Counts the bytes that the library queues, after a write. */
  synchronized void sampleQueue() {
    if (closed) {
      return;
    }
    long now = queuedBytes.getAsInt();
    progressed |= now < queued;
    queued = now;
    long own = Math.max(0, now - shared);
    budget.add(own - counted);
    counted = own;
  }

  /** Says how many of the bytes to be queued are those of a body that is counted already. */
  synchronized void share(long bytes) {
    shared = bytes;
  }

  /** Returns a handler that counts the end of a write. */
  <T> EmptyCompletionHandler<T> onWritten(Runnable onFailure) {
    return new EmptyCompletionHandler<>() {
      @Override
      public void completed(T result) {
        written();
      }

      @Override
      public void failed(Throwable cause) {
        onFailure.run();
      }
    };
  }

  /** Counts the end of a write, and runs the actions that waited for it. */
  void written() {
    synchronized (this) {
      progressed = true;
    }
    sampleQueue();
    runWaiters();
  }

  /**
   * Returns whether more may be buffered now; otherwise {@code resume} runs later.
   *
   * @param isWriter whether the bytes go to the connection without waiting for others; only what is
   *     queued for writing counts for them, so that they can't be blocked by those behind them
   */
  boolean awaitSpace(BooleanSupplier isWriter, Runnable resume) {
    sampleQueue();
    if (hasSpace(isWriter.getAsBoolean())) {
      return true;
    }
    Waiter waiter = new Waiter(isWriter, resume);
    synchronized (this) {
      waiters.add(waiter);
    }
    // A write may have ended before the action was added.
    sampleQueue();
    if (!hasSpace(isWriter.getAsBoolean())) {
      return false;
    }
    synchronized (this) {
      waiters.remove(waiter);
    }
    return true;
  }

  /** Runs the waiting actions for which there is space now. */
  void runWaiters() {
    List<Waiter> all;
    synchronized (this) {
      if (waiters.isEmpty()) {
        return;
      }
      all = List.copyOf(waiters);
    }
    for (Waiter waiter : all) {
      if (hasSpace(waiter.isWriter().getAsBoolean())) {
        boolean isDue;
        synchronized (this) {
          isDue = waiters.remove(waiter);
        }
        if (isDue) {
          waiter.resume().run();
        }
      }
    }
  }

  /**
   * Returns whether more may be buffered now.
   *
   * @param isWriter see {@link #awaitSpace}
   */
  synchronized boolean hasSpace(boolean isWriter) {
    return closed || (isWriter ? queued : held + queued) < budget.connectionLimit();
  }

  /** Counts the queue and notes whether the peer has read since the last call. */
  void sample(long nowNanos) {
    sampleQueue();
    synchronized (this) {
      if (progressed || queued == 0) {
        progressNanos = nowNanos;
      }
      progressed = false;
      sampledBytes = held + ahead + queued;
    }
    // The limit also rises when other connections release bytes.
    runWaiters();
  }

  synchronized boolean isStalledFor(long nanos, long nowNanos) {
    return !closed && queued > 0 && nowNanos - progressNanos >= nanos;
  }

  /** Returns the bytes at the last sample. */
  synchronized long bytes() {
    return sampledBytes;
  }

  /** Ends a connection whose peer reads nothing. */
  void end(EventLog log, long totalBytes) {
    log.warn(
        "connection ended for lack of memory",
        Map.of(
            "step",
            "BUFFER",
            "peer",
            peer.get(),
            "bytes",
            Long.toString(bytes()),
            "totalBytes",
            Long.toString(totalBytes)));
    terminate.run();
  }

  /** Removes all bytes of a connection that is closed, and runs the actions that wait. */
  void close() {
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      budget.add(-held - ahead - counted);
    }
    budget.closed(this);
    runWaiters();
  }

  /** An action that waits for space. */
  private record Waiter(BooleanSupplier isWriter, Runnable resume) {}
}
