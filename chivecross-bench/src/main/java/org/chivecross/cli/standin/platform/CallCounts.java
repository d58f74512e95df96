package org.chivecross.cli.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts of calls by kind and by second. Thread-safe. */
final class CallCounts {

  private final Map<String, Long> callsByKind = new TreeMap<>();
  private final Map<Long, Long> callsBySecond = new TreeMap<>();

  synchronized void count(String kind, long millis) {
    callsByKind.merge(kind, 1L, Long::sum);
    callsBySecond.merge(millis / 1_000, 1L, Long::sum);
  }

  synchronized void reset() {
    callsByKind.clear();
    callsBySecond.clear();
  }

  /** Returns the total, the highest count of one second and the counts by kind, as JSON. */
  synchronized String toJson() {
    long total = callsByKind.values().stream().mapToLong(Long::longValue).sum();
    long peak = callsBySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
    StringBuilder text = new StringBuilder("{\"calls\":").append(total);
    text.append(",\"peakPerSecond\":").append(peak);
    callsByKind.forEach(
        (kind, count) -> text.append(",\"").append(kind).append("\":").append(count));
    return text.append("}\n").toString();
  }
}
