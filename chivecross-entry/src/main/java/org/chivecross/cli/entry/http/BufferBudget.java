package org.chivecross.cli.entry.http;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;

/**
 * Counts the bytes that a data path buffers for callers and targets, and decides who may add more.
 *
 * <p>Each connection may hold a fraction of what is still free of the total (a dynamic threshold),
 * so a few slow readers may be buffered generously, and many share the total without exceeding it.
 * Safe for use by many threads.
 */
public final class BufferBudget {

  /** Size from which a body counts as large: such requests are refused first. */
  static final int LARGE_BODY_BYTES = 32 * 1024;

  /** Limit of a connection when the total is used up: one read, when nothing is buffered for it. */
  static final int MIN_CONNECTION_BYTES = 1;

  /**
   * Fraction of the total up to which uploads are admitted. The rest is for responses to requests
   * that are in progress: 25 % of 8 MB is one read of 16 KB for 128 connections.
   */
  private static final double UPLOAD_FRACTION = 0.75;

  /**
   * Divisor of the free bytes, and of the total to get the bytes that are kept for connections at
   * their minimum: 1 MB of 8 MB is one read of 16 KB for 64 connections.
   */
  private static final int FREE_DIVISOR = 8;

  /** Retry delay of a refused request; a connection that is not read is ended after 1 s. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Answer to a request that is refused for lack of memory. */
  static final Decision.Answer REFUSAL =
      new Decision.Answer(
          503,
          Outcome.NOT_RUN,
          new Failure(
              Step.ADMIT, Failure.LOCAL, "too much is buffered for slow callers and targets"),
          OptionalLong.of(RETRY_AFTER_MILLIS));

  private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final BufferLimits limits;
  private final AtomicLong total = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();
  private final AtomicLong ended = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final Set<BufferAccount> accounts = ConcurrentHashMap.newKeySet();
  private volatile long withinBoundNanos = System.nanoTime();

  BufferBudget(BufferLimits limits) {
    this.limits = limits;
  }

  /**
   * Opens the account of a connection.
   *
   * @param peer name of the peer for log lines
   * @param queuedBytes returns the bytes that the library queues for writing to the connection
   */
  BufferAccount open(Supplier<String> peer, IntSupplier queuedBytes, Runnable terminate) {
    BufferAccount account = new BufferAccount(this, peer, queuedBytes, terminate);
    accounts.add(account);
    return account;
  }

  void closed(BufferAccount account) {
    accounts.remove(account);
  }

  void add(long bytes) {
    total.addAndGet(bytes);
  }

  /** Returns the bytes up to which a connection may hold more; one read is added to them. */
  long connectionLimit() {
    long reserve = limits.totalBytes() / FREE_DIVISOR;
    long free = limits.totalBytes() - reserve - total.get();
    long share = Math.min(limits.connectionBytes(), free / FREE_DIVISOR);
    return Math.max(MIN_CONNECTION_BYTES, share - limits.readBytes());
  }

  /** Returns the bytes of a request body that are kept at most, so that it can be sent again. */
  int retainLimit(int configuredBytes) {
    long free = limits.totalBytes() - total.get();
    return (int) Math.min(configuredBytes, Math.max(limits.connectionBytes(), free / 2));
  }

  /**
   * Returns whether a new request may begin, and counts a refusal.
   *
   * @param bodyBytes bytes of its body that have to be kept
   * @param missingBytes those of them that have not been counted yet
   */
  boolean tryAdmit(long bodyBytes, long missingBytes) {
    long bound = limits.totalBytes();
    boolean isAdmitted =
        bodyBytes > LARGE_BODY_BYTES
            ? total.get() + missingBytes <= UPLOAD_FRACTION * bound
            : total.get() <= bound + bound / 2;
    if (!isAdmitted) {
      refusals.incrementAndGet();
    }
    return isAdmitted;
  }

  /** Records attempts that were cancelled because their caller closed its connection. */
  void attemptsCancelled(int count) {
    cancelled.addAndGet(count);
  }

  /**
   * Samples all connections, and chooses one to end when the total has been over the bound for a
   * second: the one that holds most among those whose peer read nothing in that time.
   */
  Optional<BufferAccount> tick(long nowNanos) {
    accounts.forEach(account -> account.sample(nowNanos));
    if (total.get() <= limits.totalBytes()) {
      withinBoundNanos = nowNanos;
    }
    if (nowNanos - withinBoundNanos < STALL_NANOS) {
      return Optional.empty();
    }
    Optional<BufferAccount> stalled =
        accounts.stream()
            .filter(account -> account.isStalledFor(STALL_NANOS, nowNanos))
            .max(Comparator.comparingLong(BufferAccount::bytes));
    stalled.ifPresent(account -> ended.incrementAndGet());
    return stalled;
  }

  /** Returns the bytes that are buffered now. */
  public long heldBytes() {
    return total.get();
  }

  /** Returns the number of requests refused for lack of memory. */
  public long refusalCount() {
    return refusals.get();
  }

  /** Returns the number of connections ended because their peers read nothing. */
  public long endedCount() {
    return ended.get();
  }

  /** Returns the number of attempts cancelled because their callers closed their connections. */
  public long cancelledCount() {
    return cancelled.get();
  }
}
