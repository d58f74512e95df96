package org.chivecross.cli.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts calls by kind and by second. Safe for use by many threads. */
final class CallCounts {

  private final Map<String, Long> byKind = new TreeMap<>();
  private final Map<Long, Long> bySecond = new TreeMap<>();

  synchronized void count(String kind, long millis) {
    byKind.merge(kind, 1L, Long::sum);
    bySecond.merge(millis / 1_000, 1L, Long::sum);
  }

  synchronized void reset() {
    byKind.clear();
    bySecond.clear();
  }

  /** Returns the counts as JSON. */
  synchronized String json() {
    long total = byKind.values().stream().mapToLong(Long::longValue).sum();
    long peak = bySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
    StringBuilder text = new StringBuilder("{\"calls\":").append(total);
    text.append(",\"peakPerSecond\":").append(peak);
    byKind.forEach((kind, count) -> text.append(",\"").append(kind).append("\":").append(count));
    return text.append("}\n").toString();
  }
}
