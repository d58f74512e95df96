package org.chivecross.cli.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.tinylog.ThreadContext;

class EventLogTest {

  /** The fields of an event must not remain in, or change, the logging context of the thread. */
  @Test
  void loggingContextOfTheThreadIsRestored() {
    ThreadContext.put("step", "ACCEPT");
    new EventLog(System::nanoTime).info("event", Map.of("request", "id"));
    assertEquals(Map.of("step", "ACCEPT"), ThreadContext.getMapping());
    ThreadContext.clear();
  }

  @Test
  void linesPerSecondAreBounded() {
    AtomicLong reads = new AtomicLong();
    EventLog log = new EventLog(() -> 5_000_000_000L);
    Map<String, String> counted =
        new java.util.AbstractMap<>() {
          @Override
          public java.util.Set<Entry<String, String>> entrySet() {
            reads.incrementAndGet();
            return java.util.Set.of();
          }
        };
    for (int i = 0; i < 500; i++) {
      log.info("event", counted);
    }
    assertTrue(reads.get() <= 60, reads + " lines");
  }
}
