package org.chivecross.logic.request;

/**
 * Attempts of one request: one row each, numbered in the order of their start.
 *
 * <p>Invariants: a row is opened once and closed once; {@link #markSending} succeeds only for an
 * open row, so no byte is sent once a row is closed. Not thread-safe.
 */
final class AttemptTable {

  /** Maximum number of attempts of one request, including retries and hedged requests. */
  static final int CAPACITY = 4;

  /** Time of an event that is not scheduled. */
  static final long NEVER = Long.MAX_VALUE;

  private final int[] targets = new int[CAPACITY];
  private final long[] startedNanos = new long[CAPACITY];
  private final long[] firstByteDueNanos = new long[CAPACITY];
  private final boolean[] open = new boolean[CAPACITY];
  private final boolean[] sent = new boolean[CAPACITY];
  private final boolean[] notRun = new boolean[CAPACITY];
  private int size;

  /** Opens a row and returns its number. */
  int open(int target, long nowNanos) {
    int attempt = size;
    targets[attempt] = target;
    startedNanos[attempt] = nowNanos;
    firstByteDueNanos[attempt] = NEVER;
    open[attempt] = true;
    size++;
    return attempt;
  }

  /**
   * Marks that bytes of an attempt may be sent from now on; false when the row is closed.
   *
   * @param dueNanos monotonic time by which the first byte of the answer is due, or {@link #NEVER}
   */
  boolean markSending(int attempt, long dueNanos) {
    if (!isOpen(attempt)) {
      return false;
    }
    if (!sent[attempt]) {
      sent[attempt] = true;
      firstByteDueNanos[attempt] = dueNanos;
    }
    return true;
  }

  /** Marks that the target proved that it did not run the attempt. */
  void markNotRun(int attempt) {
    notRun[attempt] = true;
  }

  /** Marks that another entry, to which the request was forwarded, proved that it sent nothing. */
  void markUnsent(int attempt) {
    sent[attempt] = false;
  }

  /** Stops waiting for the first byte of an attempt. */
  void clearFirstByteTimeout(int attempt) {
    firstByteDueNanos[attempt] = NEVER;
  }

  void close(int attempt) {
    open[attempt] = false;
  }

  boolean isOpen(int attempt) {
    return attempt >= 0 && attempt < size && open[attempt];
  }

  boolean isSent(int attempt) {
    return sent[attempt];
  }

  boolean hasOpen() {
    return hasOpenBesides(-1);
  }

  boolean hasOpenBesides(int attempt) {
    for (int i = 0; i < size; i++) {
      if (i != attempt && open[i]) {
        return true;
      }
    }
    return false;
  }

  boolean isFull() {
    return size == CAPACITY;
  }

  /** Returns whether provably no byte of any attempt was sent. */
  boolean nothingSent() {
    return sentCount() == 0;
  }

  /** Returns the number of attempts of which a byte may have been sent. */
  int sentCount() {
    int count = 0;
    for (int i = 0; i < size; i++) {
      count += sent[i] ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns whether an attempt may have been run or may still be: it is open, or it was sent
   * without a proof that it did not run.
   */
  boolean mayHaveRun(int attempt) {
    return open[attempt] || (sent[attempt] && !notRun[attempt]);
  }

  int target(int attempt) {
    return targets[attempt];
  }

  long startedNanos(int attempt) {
    return startedNanos[attempt];
  }

  int size() {
    return size;
  }

  /** Returns the open attempt whose first byte is overdue, or -1. */
  int overdueAttempt(long nowNanos) {
    for (int i = 0; i < size; i++) {
      if (open[i] && nowNanos >= firstByteDueNanos[i]) {
        return i;
      }
    }
    return -1;
  }

  /** Returns the earliest time at which a first byte is due, or {@link #NEVER}. */
  long nextFirstByteDueNanos() {
    long next = NEVER;
    for (int i = 0; i < size; i++) {
      if (open[i]) {
        next = Math.min(next, firstByteDueNanos[i]);
      }
    }
    return next;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < size; i++) {
      text.append(targets[i]).append(open[i] ? " open" : " closed").append(sent[i] ? " sent" : "");
      text.append(notRun[i] ? " not run" : "").append(" silent at ").append(firstByteDueNanos[i]);
      text.append("; ");
    }
    return text.toString();
  }
}
