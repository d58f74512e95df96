package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Table of the other entries to which requests may be forwarded: one row for each.
 *
 * <p>Invariants: a row always denotes the same IP address; its number is at least {@link
 * #FIRST_ROW}, so that no row of a target has it. Not thread-safe.
 */
final class ForwardingTable {

  /** Number of the first row; far more than there are rows of targets. */
  static final int FIRST_ROW = 1 << 20;

  static final int NONE = -1;

  /** Time for which an entry that failed or turned a request away gets none. */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int INITIAL_CAPACITY = 16;

  private final List<String> ips = new ArrayList<>();
  private final Map<String, Integer> indexByIp = new HashMap<>();
  private int[] inFlight = new int[INITIAL_CAPACITY];
  private long[] pausedUntilNanos = new long[INITIAL_CAPACITY];
  private int[] usable = new int[0];

  /** Replaces the entries that may be used. */
  void apply(Collection<String> entryIps) {
    usable = entryIps.stream().mapToInt(this::indexOf).toArray();
  }

  /**
   * Chooses an entry at random, the less loaded one of two.
   *
   * @return its row, or {@link #NONE} if no entry may be used
   */
  int choose(PlacementTicket ticket, RandomGenerator random, long nowNanos) {
    int[] candidates =
        Arrays.stream(usable)
            .filter(i -> pausedUntilNanos[i] <= nowNanos && !ticket.isForwardedTo(i + FIRST_ROW))
            .toArray();
    if (candidates.length == 0) {
      return NONE;
    }
    int first = candidates[random.nextInt(candidates.length)];
    int second = candidates[random.nextInt(candidates.length)];
    return FIRST_ROW + (inFlight[second] < inFlight[first] ? second : first);
  }

  void started(int row) {
    inFlight[row - FIRST_ROW]++;
  }

  void ended(int row) {
    inFlight[row - FIRST_ROW]--;
  }

  /** Returns the number of forwarded requests in flight. */
  int inFlight(int row) {
    return inFlight[row - FIRST_ROW];
  }

  /** Sends no request to an entry for a short time. */
  void pause(int row, long nowNanos) {
    pausedUntilNanos[row - FIRST_ROW] = nowNanos + PAUSE_NANOS;
  }

  /** Returns the IP address of an entry. */
  Optional<String> ip(int row) {
    int index = row - FIRST_ROW;
    return index >= 0 && index < ips.size() ? Optional.of(ips.get(index)) : Optional.empty();
  }

  private int indexOf(String ip) {
    Integer known = indexByIp.get(ip);
    if (known != null) {
      return known;
    }
    int index = ips.size();
    if (index == inFlight.length) {
      inFlight = Arrays.copyOf(inFlight, 2 * index);
      pausedUntilNanos = Arrays.copyOf(pausedUntilNanos, 2 * index);
    }
    pausedUntilNanos[index] = Long.MIN_VALUE;
    ips.add(ip);
    indexByIp.put(ip, index);
    return index;
  }
}
