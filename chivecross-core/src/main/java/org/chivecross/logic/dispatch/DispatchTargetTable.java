package org.chivecross.logic.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Table of dispatch targets: one row for each incarnation, with its last load report and the
 * attempts and failures seen by this entry.
 *
 * <p>Invariants: a row belongs to one incarnation while an attempt or probe refers to it, so a row
 * number held by a request never denotes another target; only rows that are registered, not leaving
 * and in no evacuated data centre are usable; an incarnation that announced its shutdown is never
 * usable again. Not thread-safe.
 */
final class DispatchTargetTable {

  static final int NONE = -1;

  private static final int INITIAL_CAPACITY = 64;

  /** Half-life of remembered failures; lasting failures go on for much longer. */
  private static final double FAILURE_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** EWMA weight of the newest report of a target; about the last ten reports count. */
  private static final double REPORT_GAIN = 0.1;

  /** EWMA weight of the newest report in the mean over all targets. */
  private static final double FLEET_REPORT_GAIN = 0.02;

  /**
   * Time after an answer for which the connection is assumed to be kept; targets close after 10 s.
   */
  private static final long KEPT_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Age in half-lives from which failures no longer count. */
  private static final double MAX_FAILURE_HALF_LIVES = 8;

  private @Nullable RegisteredTarget[] registered = new RegisteredTarget[INITIAL_CAPACITY];
  private boolean[] usable = new boolean[INITIAL_CAPACITY];
  private int[] inFlight = new int[INITIAL_CAPACITY];
  private boolean[] probing = new boolean[INITIAL_CAPACITY];
  private int[] running = new int[INITIAL_CAPACITY];
  private int[] waiting = new int[INITIAL_CAPACITY];
  private int[] slots = new int[INITIAL_CAPACITY];
  private int[] slowdownPercent = new int[INITIAL_CAPACITY];
  private double[] meanSlowdown = new double[INITIAL_CAPACITY];
  private double fleetMeanSlowdown = 1;
  private int[] sentSinceReport = new int[INITIAL_CAPACITY];
  private long[] reportNanos = new long[INITIAL_CAPACITY];
  private long[] warmNanos = new long[INITIAL_CAPACITY];
  private double[] failures = new double[INITIAL_CAPACITY];
  private long[] failureNanos = new long[INITIAL_CAPACITY];
  private boolean[] leaving = new boolean[INITIAL_CAPACITY];
  private long[] heldOffUntilNanos = new long[INITIAL_CAPACITY];
  private int size;
  private final Deque<Integer> retired = new ArrayDeque<>();
  private final Map<String, Integer> rowsById = new HashMap<>();
  private Map<String, int[]> rowsByService = Map.of();
  private Set<String> evacuated = Set.of();

  /** Replaces the set of registered targets; rows of remaining incarnations keep their state. */
  void apply(Collection<RegisteredTarget> targets, long nowNanos) {
    Map<String, RegisteredTarget> next = new HashMap<>();
    targets.forEach(target -> next.put(target.id(), target));
    List<String> removedIds = new ArrayList<>();
    rowsById.forEach(
        (id, row) -> {
          RegisteredTarget now = next.get(id);
          RegisteredTarget before = registered[row];
          if (now == null || before == null || !now.isSameIncarnation(before)) {
            removedIds.add(id);
          }
        });
    for (String id : removedIds) {
      int row = rowsById.remove(id);
      usable[row] = false;
      retired.add(row);
    }
    for (RegisteredTarget target : next.values()) {
      Integer existingRow = rowsById.get(target.id());
      int row = existingRow == null ? rowFor(target, nowNanos) : existingRow;
      registered[row] = target;
      leaving[row] |= target.leaving();
      usable[row] = isAllowed(row, target);
      warmUp(row, target.warmupMillis(), nowNanos);
      rowsById.put(target.id(), row);
    }
    indexByService();
  }

  /** Replaces the set of data centres whose targets get nothing. */
  void evacuate(Set<String> dataCentres) {
    if (dataCentres.equals(evacuated)) {
      return;
    }
    evacuated = Set.copyOf(dataCentres);
    for (int row : rowsById.values()) {
      RegisteredTarget target = registered[row];
      usable[row] = target != null && isAllowed(row, target);
    }
    indexByService();
  }

  private boolean isAllowed(int row, RegisteredTarget target) {
    return !leaving[row] && !evacuated.contains(target.dataCentre());
  }

  boolean isEvacuated(int row) {
    return target(row).filter(t -> evacuated.contains(t.dataCentre())).isPresent();
  }

  /** Records that a target is slow for some more time. */
  void warmUp(int row, long remainingMillis, long nowNanos) {
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
    warmNanos[row] = Math.max(warmNanos[row], endNanos);
  }

  /** Returns the usable rows of a service. */
  int[] usableRows(String service) {
    return rowsByService.getOrDefault(service, new int[0]);
  }

  /** Returns the rows of all registered targets of a service, usable or not. */
  int[] registeredRows(String service) {
    return rowsById.values().stream()
        .filter(row -> target(row).filter(t -> t.service().equals(service)).isPresent())
        .mapToInt(Integer::intValue)
        .sorted()
        .toArray();
  }

  /** Returns the usable rows of all services. */
  int[] usableRows() {
    return rowsByService.values().stream().flatMapToInt(Arrays::stream).toArray();
  }

  /** Returns the usable rows of a service whose targets did not ask to be left alone. */
  int[] availableRows(String service, long nowNanos) {
    int[] rows = usableRows(service);
    for (int row : rows) {
      if (isHeldOff(row, nowNanos)) {
        return Arrays.stream(rows).filter(r -> !isHeldOff(r, nowNanos)).toArray();
      }
    }
    return rows;
  }

  /** Returns the earliest end of a hold-off among rows; {@code Long.MAX_VALUE} without rows. */
  long earliestHoldOffEndNanos(int[] rows) {
    return Arrays.stream(rows)
        .mapToLong(row -> heldOffUntilNanos[row])
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Records that a target wants nothing from this entry until a time. */
  void holdOff(int row, long untilNanos) {
    heldOffUntilNanos[row] = Math.max(heldOffUntilNanos[row], untilNanos);
  }

  boolean isHeldOff(int row, long nowNanos) {
    return nowNanos < heldOffUntilNanos[row];
  }

  /**
   * Records that the target of a row announced its shutdown.
   *
   * @return whether this was not known
   */
  boolean markLeaving(int row) {
    boolean isNew = !leaving[row];
    leaving[row] = true;
    if (usable[row]) {
      usable[row] = false;
      indexByService();
    }
    return isNew;
  }

  boolean isLeaving(int row) {
    return leaving[row];
  }

  /** Returns the number of targets that are usable. */
  int usableCount() {
    return rowsByService.values().stream().mapToInt(rows -> rows.length).sum();
  }

  boolean isUsable(int row) {
    return usable[row];
  }

  /** Returns the target of a row, also after it was removed. */
  Optional<RegisteredTarget> target(int row) {
    return row >= 0 && row < size ? Optional.ofNullable(registered[row]) : Optional.empty();
  }

  boolean isProbing(int row) {
    return probing[row];
  }

  void setProbing(int row, boolean value) {
    probing[row] = value;
  }

  void attemptStarted(int row) {
    inFlight[row]++;
    sentSinceReport[row]++;
  }

  void attemptEnded(int row) {
    inFlight[row]--;
  }

  int inFlight(int row) {
    return inFlight[row];
  }

  /** Stores a load report of a target. */
  void report(int row, LoadReport report, long nowNanos) {
    running[row] = report.inService();
    waiting[row] = report.queued();
    slots[row] = Math.max(1, report.slots());
    slowdownPercent[row] = report.slowdownPercent();
    meanSlowdown[row] += REPORT_GAIN * (slowdown(row) - meanSlowdown[row]);
    fleetMeanSlowdown += FLEET_REPORT_GAIN * (slowdown(row) - fleetMeanSlowdown);
    sentSinceReport[row] = 0;
    reportNanos[row] = nowNanos;
  }

  /** Returns whether the last report of a target is at most {@code maxAgeNanos} old. */
  boolean hasReportWithin(int row, long maxAgeNanos, long nowNanos) {
    return reportNanos[row] != Long.MIN_VALUE && nowNanos - reportNanos[row] <= maxAgeNanos;
  }

  int running(int row) {
    return running[row] + sentSinceReport[row];
  }

  int waiting(int row) {
    return waiting[row];
  }

  int slots(int row) {
    return slots[row];
  }

  /** Returns the last load report of a target, with the requests sent to it since. */
  DispatchEvent.TargetLoad load(int row, long nowNanos) {
    RegisteredTarget target = registered[row];
    long age =
        reportNanos[row] == Long.MIN_VALUE
            ? -1
            : TimeUnit.NANOSECONDS.toMillis(nowNanos - reportNanos[row]);
    return new DispatchEvent.TargetLoad(
        target == null ? "" : target.id(), running(row), waiting[row], slowdownPercent[row], age);
  }

  /** Returns the reported service time of a target as a multiple of that at nominal speed. */
  double slowdown(int row) {
    return slowdownPercent[row] / (double) LoadReport.NOMINAL_SLOWDOWN_PERCENT;
  }

  /** Returns the mean slowdown of a target, over its reports. */
  double meanSlowdown(int row) {
    return meanSlowdown[row];
  }

  /** Returns the age of the last report, in ns; very large when there is none. */
  double reportAgeNanos(int row, long nowNanos) {
    return reportNanos[row] == Long.MIN_VALUE ? Double.MAX_VALUE : nowNanos - reportNanos[row];
  }

  /** Returns the smallest number of remembered failures among targets. */
  double minFailures(int[] rows, long nowNanos) {
    return Arrays.stream(rows).mapToDouble(row -> failures(row, nowNanos)).min().orElse(0);
  }

  /** Returns the number of free slots of a target, by its last report and the requests since. */
  int freeSlots(int row) {
    return Math.max(0, slots(row) - running(row) - waiting(row));
  }

  /** Returns whether any of the targets has a free slot, by its last report. */
  boolean hasFreeSlot(int[] rows) {
    for (int row : rows) {
      if (running(row) + waiting(row) < slots(row)) {
        return true;
      }
    }
    return false;
  }

  /** Forgets the failures of all targets, since they had a cause in common. */
  void forgetFailures() {
    Arrays.fill(failures, 0);
  }

  /** Returns whether a connection to the target is likely to be open. */
  boolean isConnected(int row, long nowNanos) {
    return hasReportWithin(row, KEPT_CONNECTION_NANOS, nowNanos);
  }

  boolean isWarm(int row, long nowNanos) {
    return nowNanos >= warmNanos[row];
  }

  void failed(int row, double weight, long nowNanos) {
    failures[row] = failures(row, nowNanos) + weight;
    failureNanos[row] = nowNanos;
  }

  /** Halves the remembered failures of a target that answered a request. */
  void served(int row, long nowNanos) {
    failures[row] = failures(row, nowNanos) / 2;
    failureNanos[row] = nowNanos;
  }

  /** Returns the remembered failures of a target; older failures count less. */
  double failures(int row, long nowNanos) {
    if (failures[row] == 0) {
      return 0;
    }
    double halfLives = (nowNanos - failureNanos[row]) / FAILURE_HALF_LIFE_NANOS;
    return halfLives > MAX_FAILURE_HALF_LIVES ? 0 : failures[row] * Math.pow(0.5, halfLives);
  }

  /** Returns the row that the incarnation had before, or a new one. */
  private int rowFor(RegisteredTarget target, long nowNanos) {
    for (int row : retired) {
      RegisteredTarget before = registered[row];
      if (before != null && before.isSameIncarnation(target)) {
        retired.remove(row);
        return row;
      }
    }
    return newRow(target, nowNanos);
  }

  private int newRow(RegisteredTarget target, long nowNanos) {
    int row = takeReusableRow();
    if (row == NONE) {
      row = size++;
      if (row == inFlight.length) {
        grow();
      }
    }
    inFlight[row] = 0;
    leaving[row] = false;
    heldOffUntilNanos[row] = Long.MIN_VALUE;
    probing[row] = false;
    sentSinceReport[row] = 0;
    reportNanos[row] = Long.MIN_VALUE;
    slots[row] = Math.max(1, target.slots());
    slowdownPercent[row] = LoadReport.NOMINAL_SLOWDOWN_PERCENT;
    meanSlowdown[row] = fleetMeanSlowdown;
    warmNanos[row] = nowNanos;
    failures[row] = 0;
    return row;
  }

  private int takeReusableRow() {
    for (int i = retired.size(); i > 0; i--) {
      int row = retired.remove();
      if (inFlight[row] == 0 && !probing[row]) {
        return row;
      }
      retired.add(row);
    }
    return NONE;
  }

  private void grow() {
    int capacity = 2 * inFlight.length;
    registered = Arrays.copyOf(registered, capacity);
    usable = Arrays.copyOf(usable, capacity);
    inFlight = Arrays.copyOf(inFlight, capacity);
    probing = Arrays.copyOf(probing, capacity);
    running = Arrays.copyOf(running, capacity);
    waiting = Arrays.copyOf(waiting, capacity);
    slots = Arrays.copyOf(slots, capacity);
    slowdownPercent = Arrays.copyOf(slowdownPercent, capacity);
    meanSlowdown = Arrays.copyOf(meanSlowdown, capacity);
    sentSinceReport = Arrays.copyOf(sentSinceReport, capacity);
    reportNanos = Arrays.copyOf(reportNanos, capacity);
    warmNanos = Arrays.copyOf(warmNanos, capacity);
    failures = Arrays.copyOf(failures, capacity);
    failureNanos = Arrays.copyOf(failureNanos, capacity);
    leaving = Arrays.copyOf(leaving, capacity);
    heldOffUntilNanos = Arrays.copyOf(heldOffUntilNanos, capacity);
  }

  private void indexByService() {
    Map<String, List<Integer>> lists = new HashMap<>();
    for (int row : rowsById.values()) {
      RegisteredTarget target = registered[row];
      if (usable[row] && target != null) {
        lists.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(row);
      }
    }
    Map<String, int[]> arrays = new HashMap<>();
    lists.forEach(
        (service, rows) ->
            arrays.put(service, rows.stream().mapToInt(Integer::intValue).sorted().toArray()));
    rowsByService = arrays;
  }
}
