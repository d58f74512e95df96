package org.chivecross.cli.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Log of events with fields, rate-limited per kind of event. The next line of a kind states how
 * many events of that kind were suppressed before it. Thread-safe.
 */
public final class EventLog {

  /** Maximum number of lines per second and kind; a busy entry serves fewer requests. */
  private static final int MAX_LINES_PER_SECOND = 60;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LongSupplier clock;
  private final Map<String, RateLimit> rateLimits = new HashMap<>();

  /** Rate limit of one kind of event: counters of the current second. */
  private static final class RateLimit {
    private long secondStartNanos;
    private int writtenLines;
    private long suppressedEvents;
  }

  /** Creates a log; {@code clock} returns the monotonic time in ns. */
  public EventLog(LongSupplier clock) {
    this.clock = clock;
  }

  /** Logs a routine event. */
  public void info(String event, Map<String, String> fields) {
    long suppressed = tryAcquire(event);
    if (suppressed >= 0) {
      withFields(fields, suppressed, () -> Logger.info(event));
    }
  }

  /** Logs an event that may need an operator's attention. */
  public void warn(String event, Map<String, String> fields) {
    long suppressed = tryAcquire(event);
    if (suppressed >= 0) {
      withFields(fields, suppressed, () -> Logger.warn(event));
    }
  }

  /**
   * Counts an event against the limit of its kind.
   *
   * @return number of events suppressed since the last line of this kind, or -1 if this event is
   *     suppressed too
   */
  private synchronized long tryAcquire(String event) {
    long now = clock.getAsLong();
    RateLimit allowance = rateLimits.computeIfAbsent(event, name -> new RateLimit());
    if (now - allowance.secondStartNanos >= SECOND_NANOS) {
      allowance.secondStartNanos = now;
      allowance.writtenLines = 0;
    }
    if (allowance.writtenLines >= MAX_LINES_PER_SECOND) {
      allowance.suppressedEvents++;
      return -1;
    }
    allowance.writtenLines++;
    long suppressed = allowance.suppressedEvents;
    allowance.suppressedEvents = 0;
    return suppressed;
  }

  private static void withFields(Map<String, String> fields, long suppressed, Runnable write) {
    Map<String, String> before = ThreadContext.getMapping();
    fields.forEach(ThreadContext::put);
    if (suppressed > 0) {
      ThreadContext.put("suppressed", Long.toString(suppressed));
    }
    try {
      write.run();
    } finally {
      ThreadContext.clear();
      before.forEach(ThreadContext::put);
    }
  }
}
