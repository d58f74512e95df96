package org.chivecross.cli.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Writes events as log lines with fields, so many a second for each kind of event; what is left out
 * is counted in the next line of its kind. Safe for use by many threads.
 */
public final class EventLog {

  /** Lines of one kind that may be written in a second; a busy entry serves fewer requests. */
  private static final int MAX_LINES_PER_SECOND = 60;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final LongSupplier clock;
  private final Map<String, RateLimit> rateLimits = new HashMap<>();

  /** What one kind of event has written in the current second. */
  private static final class RateLimit {
    private long secondStartNanos;
    private int writtenLines;
    private long suppressedEvents;
  }

  /** Creates a log; {@code clock} tells the monotonic time in ns. */
  public EventLog(LongSupplier clock) {
    this.clock = clock;
  }

  /** Writes an event of ordinary work. */
  public void info(String event, Map<String, String> fields) {
    long suppressed = tryAcquire(event);
    if (suppressed >= 0) {
      withFields(fields, suppressed, () -> Logger.info(event));
    }
  }

  /** Writes an event that an operator may have to look into. */
  public void warn(String event, Map<String, String> fields) {
    long suppressed = tryAcquire(event);
    if (suppressed >= 0) {
      withFields(fields, suppressed, () -> Logger.warn(event));
    }
  }

  /** Returns how many events were left out before this one, or -1 when it is left out itself. */
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
