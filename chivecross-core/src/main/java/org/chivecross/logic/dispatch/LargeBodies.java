package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The large request bodies that this entry has in flight at targets. The memory of a target is
 * small, and its process ends when the requests that it holds exceed it, so two of them go to the
 * same target only when no other target can take one. Not thread-safe.
 */
final class LargeBodies {

  /** Size from which a body counts as large; a target holds several smaller ones with ease. */
  private static final int LARGE_BYTES = 32 * 1024;

  private final Map<Integer, List<BooleanSupplier>> openByRow = new HashMap<>();

  /**
   * Records an attempt.
   *
   * @param isOpen returns whether the attempt is still in flight
   */
  void started(int row, long bodyBytes, BooleanSupplier isOpen) {
    if (bodyBytes > LARGE_BYTES) {
      isAnyOpen(row);
      openByRow.computeIfAbsent(row, r -> new ArrayList<>(1)).add(isOpen);
    }
  }

  /** Returns the targets among {@code rows} that get no second large body by this request. */
  int[] without(PlacementTicket ticket, int[] rows) {
    if (ticket.bodyBytes() <= LARGE_BYTES || openByRow.isEmpty()) {
      return rows;
    }
    int[] left = Arrays.stream(rows).filter(row -> !isAnyOpen(row)).toArray();
    return left.length == 0 ? rows : left;
  }

  private boolean isAnyOpen(int row) {
    List<BooleanSupplier> open = openByRow.get(row);
    if (open == null) {
      return false;
    }
    open.removeIf(isOpen -> !isOpen.getAsBoolean());
    if (open.isEmpty()) {
      openByRow.remove(row);
    }
    return !open.isEmpty();
  }
}
