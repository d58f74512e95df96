package org.chivecross.logic.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.logic.membership.RendezvousHash;
import org.chivecross.logic.subset.TargetSubsets;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Targets of each service that this entry prefers, so that its connections to them stay open and
 * few entries compete for the same slot. In force only for services with too few requests to keep
 * connections to all targets open, and while another entry is known. Not thread-safe.
 *
 * <p>Invariants: only usable targets are preferred; while preferences of a service are in force, at
 * least one of its targets is preferred.
 */
public final class PreferredTargets {

  /** Time without requests after which a connection is assumed to be closed. */
  private static final double KEPT_SECONDS = 8;

  /** Requests to each preferred target in that time, on average. */
  private static final double REQUESTS_PER_KEPT_TIME = 2;

  private static final int MIN_SIZE = 4;
  private static final int MAX_SIZE = 16;

  /** Relative change of the required size from which the size follows. */
  private static final double SIZE_HYSTERESIS = 0.25;

  /**
   * Fraction of the targets to which connections stay open below which preferences come into force;
   * they end when connections to all targets stay open.
   */
  private static final double START_FRACTION = 0.8;

  /** Time constant of the request rate; several periods of the load's waves. */
  private static final double RATE_SECONDS = 20;

  /** Time for which a target is new; longer than the slow start of targets. */
  private static final long NEW_TARGET_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Probes per second to a new target from all entries together. */
  private static final double NEW_TARGET_PROBES_PER_SECOND = 6;

  /** Upper bound of the fraction of requests whose first probe goes to a new target. */
  private static final double MAX_NEW_TARGET_FRACTION = 0.5;

  /** Services from which the state of all is dropped, in case that rules named many over time. */
  private static final int MAX_SERVICES = 1_024;

  /** Preferences for the targets of one service. */
  private static final class ServiceState {
    private final RequestRate rate = new RequestRate(RATE_SECONDS);
    private int[] rows = new int[0];
    private List<RegisteredTarget> targets = List.of();
    private int[] order = new int[0];
    private long orderGeneration;
    private final Map<Integer, Long> newUntilNanos = new HashMap<>();
    private boolean inForce;
    private int size = MIN_SIZE;
    private final Map<Integer, Double> ranks = new HashMap<>();
  }

  private final DispatchTargetTable targets;
  private final String dataCentre;
  private final Map<String, ServiceState> services = new HashMap<>();
  private long[] localEntries = new long[0];
  private int ownIndex;
  private int entryCount;
  private long generation = 1;
  private long requestCount;

  PreferredTargets(DispatchTargetTable targets, String dataCentre) {
    this.targets = targets;
    this.dataCentre = dataCentre;
  }

  /**
   * Replaces the entries of the fleet; without effect if they are the same as before.
   *
   * @param ownIp IP address of this entry
   * @param others the other entries that are known
   */
  public void applyEntries(String ownIp, Collection<FleetMember> others) {
    long own = RendezvousHash.of(ownIp);
    Set<Long> local = new HashSet<>();
    int count = 0;
    for (FleetMember member : others) {
      if (!member.ready() || member.ip().equals(ownIp)) {
        continue;
      }
      count++;
      if (member.dataCentre().equals(dataCentre)) {
        local.add(RendezvousHash.of(member.ip()));
      }
    }
    local.add(own);
    entryCount = count + 1;
    long[] sorted = local.stream().mapToLong(Long::longValue).sorted().toArray();
    if (!Arrays.equals(sorted, localEntries)) {
      localEntries = sorted;
      ownIndex = Arrays.binarySearch(sorted, own);
      generation++;
    }
  }

  /** Records a request for a service, and updates the preferences for its targets. */
  void requestArrived(String service, long nowNanos) {
    if (services.size() >= MAX_SERVICES) {
      services.clear();
    }
    ServiceState state = services.computeIfAbsent(service, name -> new ServiceState());
    state.rate.count(nowNanos);
    double keptConnections = state.rate.meanPerSecond(nowNanos) * KEPT_SECONDS;
    int available = targets.usableRows(service).length;
    double bound = state.inForce ? available : START_FRACTION * available;
    boolean wasInForce = state.inForce;
    state.inForce = entryCount > 1 && keptConnections < bound;
    if (!state.inForce) {
      state.ranks.clear();
      return;
    }
    double required =
        Math.max(MIN_SIZE, Math.min(MAX_SIZE, keptConnections / REQUESTS_PER_KEPT_TIME));
    if (Math.abs(required - state.size) > SIZE_HYSTERESIS * state.size || !wasInForce) {
      state.size = (int) Math.round(required);
    }
    update(service, state, nowNanos);
  }

  /** Returns whether targets of a service are preferred to others. */
  boolean isInForce(String service) {
    ServiceState state = services.get(service);
    return state != null && state.inForce;
  }

  /** Returns whether a target is preferred. */
  boolean isPreferred(String service, int row) {
    ServiceState state = services.get(service);
    return state != null && state.ranks.containsKey(row);
  }

  /**
   * Returns the rank of a preferred target, from 0 for the first one to nearly 1 for the last one;
   * 1 for all other targets.
   */
  double rank(String service, int row) {
    ServiceState state = services.get(service);
    return state == null ? 1 : state.ranks.getOrDefault(row, 1.0);
  }

  /**
   * Returns a new target to probe first, so that new targets get requests although few entries
   * prefer them; mostly {@link DispatchTargetTable#NONE}.
   *
   * @param rows rows among which to choose
   */
  int newTargetToProbe(String service, int[] rows, RandomGenerator random, long nowNanos) {
    ServiceState state = services.get(service);
    if (state == null || state.newUntilNanos.isEmpty()) {
      return DispatchTargetTable.NONE;
    }
    state.newUntilNanos.values().removeIf(until -> nowNanos >= until);
    int[] candidates = Arrays.stream(rows).filter(state.newUntilNanos::containsKey).toArray();
    double probesPerSecond = NEW_TARGET_PROBES_PER_SECOND * candidates.length;
    double requestsPerSecond = entryCount * state.rate.meanPerSecond(nowNanos);
    double fraction = Math.min(MAX_NEW_TARGET_FRACTION, probesPerSecond / requestsPerSecond);
    if (candidates.length == 0 || random.nextDouble() >= fraction) {
      return DispatchTargetTable.NONE;
    }
    return candidates[random.nextInt(candidates.length)];
  }

  /** Counts the attempt if its target is preferred. */
  void attemptStarted(int row) {
    targets
        .target(row)
        .filter(target -> isPreferred(target.service(), row))
        .ifPresent(target -> requestCount++);
  }

  /** Returns the number of requests sent to preferred targets. */
  public long requestCount() {
    return requestCount;
  }

  /** Returns the number of preferred targets of each service for which preferences are in force. */
  public Map<String, Integer> sizes() {
    Map<String, Integer> sizes = new TreeMap<>();
    services.forEach(
        (service, state) -> {
          if (state.inForce) {
            sizes.put(service, state.ranks.size());
          }
        });
    return sizes;
  }

  private void update(String service, ServiceState state, long nowNanos) {
    int[] rows = targets.usableRows(service);
    boolean rowsReplaced = rows != state.rows;
    if (rowsReplaced) {
      rowsReplaced = recordTargets(state, rows, nowNanos);
    }
    if (rowsReplaced || state.orderGeneration != generation) {
      state.order = order(state.targets, rows);
      state.orderGeneration = generation;
      state.ranks.clear();
    }
    int size = Math.min(state.size, state.order.length);
    if (state.ranks.size() != size) {
      state.ranks.clear();
      for (int i = 0; i < size; i++) {
        state.ranks.put(state.order[i], i / (double) size);
      }
    }
  }

  /**
   * Stores the targets of a service; those that were added to others are new.
   *
   * @return whether the targets changed
   */
  private boolean recordTargets(ServiceState state, int[] rows, long nowNanos) {
    List<RegisteredTarget> current = new ArrayList<>();
    Map<Integer, RegisteredTarget> before = new HashMap<>();
    for (int i = 0; i < state.rows.length; i++) {
      before.put(state.rows[i], state.targets.get(i));
    }
    boolean changed = rows.length != state.rows.length;
    for (int row : rows) {
      RegisteredTarget target = targets.target(row).orElseThrow();
      current.add(target);
      RegisteredTarget known = before.get(row);
      if (known == null || !known.isSameIncarnation(target)) {
        changed = true;
        if (!before.isEmpty()) {
          state.newUntilNanos.put(row, nowNanos + NEW_TARGET_NANOS);
        }
      }
    }
    state.rows = rows;
    state.targets = current;
    return changed;
  }

  /** Returns the rows in the order in which this entry prefers them; local ones come first. */
  private int[] order(List<RegisteredTarget> serviceTargets, int[] rows) {
    List<Integer> local = new ArrayList<>();
    List<Integer> remote = new ArrayList<>();
    for (int i = 0; i < rows.length; i++) {
      boolean isLocal = serviceTargets.get(i).dataCentre().equals(dataCentre);
      (isLocal ? local : remote).add(i);
    }
    List<Integer> order = new ArrayList<>(MAX_SIZE);
    append(order, local, serviceTargets);
    if (order.size() < MAX_SIZE) {
      append(order, remote, serviceTargets);
    }
    return order.stream().mapToInt(i -> rows[i]).toArray();
  }

  private void append(
      List<Integer> order, List<Integer> candidates, List<RegisteredTarget> serviceTargets) {
    if (candidates.isEmpty()) {
      return;
    }
    long[] keys =
        candidates.stream().mapToLong(i -> RendezvousHash.of(serviceTargets.get(i).id())).toArray();
    int size = MAX_SIZE - order.size();
    int[] chosen = TargetSubsets.ordered(localEntries, keys, size).get(ownIndex);
    Arrays.stream(chosen).forEach(i -> order.add(candidates.get(i)));
  }
}
