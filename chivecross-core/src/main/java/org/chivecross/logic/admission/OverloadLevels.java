package org.chivecross.logic.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.ServiceLoad;
import org.chivecross.model.request.LoadReport;

/**
 * Pressure on each service: a moving average over the load reports that this entry gets, and with a
 * lower weight what other entries advertise. 1 means that on average all slots are in use.
 *
 * <p>Invariants: a level rises at once and falls by one step at a time; without reports the
 * pressure decays to 0. Not thread-safe.
 */
public final class OverloadLevels {

  /** Pressure from which each level applies; indexed by level. */
  private static final double[] BOUNDS = {0, 1.0, 1.1};

  /** Distance below a bound at which the level may fall. */
  private static final double FALL_MARGIN = 0.15;

  /** Time that the pressure must stay below that before the level falls by one step. */
  private static final long FALL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * EWMA weight of the newest report. An entry gets 5 to 20 reports per second, so that about the
   * last second counts.
   */
  private static final double REPORT_GAIN = 0.1;

  /**
   * Slots of a target up to which its reports count. With six slots a target, an earlier form of
   * the order made more requests late than it saved.
   */
  private static final int MAX_TARGET_SLOTS = 4;

  /** Reports from which the average is used; a single full target is no overload. */
  private static final int MIN_REPORTS = 8;

  /** Weight of a slowdown: a target five times slower counts 1.4 times. */
  private static final double SLOWDOWN_WEIGHT = 0.1;

  /** Time without reports after which the average decays, and its half-life then. */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Largest weight of what other entries advertise, which is 1 s to 3 s old. */
  private static final double ADVERTISED_WEIGHT = 0.3;

  /** Largest valid figure: a target with a queue of twice its slots has 3, slow 4.2. */
  private static final double MAX_PRESSURE = 8;

  /** Services advertised at most, those with most pressure first. */
  private static final int MAX_ADVERTISED = 4;

  /** Number of entries whose figures are precise enough for the mean; more would cost bytes. */
  private static final int ADVERTISING_ENTRIES = 64;

  /** State of one service. */
  private static final class State {
    private double average;
    private int reports;
    private long reportedNanos;
    private PressureLevel level = PressureLevel.NONE;
    private long notBelowNanos;
  }

  /** What the other entries advertise of one service. */
  private record Advertised(double mean, double weight) {}

  private final LevelListener listener;
  private final Map<String, State> byService = new TreeMap<>();
  private Map<Integer, Advertised> advertisedByHash = Map.of();
  private long invalidCount;

  /** Creates levels without pressure. */
  public OverloadLevels(LevelListener listener) {
    this.listener = listener;
  }

  /** Handles the load report of a target. */
  void reported(String service, LoadReport report, long nowNanos) {
    if (report.slots() > MAX_TARGET_SLOTS) {
      return;
    }
    State state = byService.computeIfAbsent(service, name -> new State());
    double slots = Math.max(1, report.slots());
    double slowdown = report.slowdownPercent() / (double) LoadReport.NOMINAL_SLOWDOWN_PERCENT;
    double load = (report.inService() + report.queued()) / slots;
    double sample = load * (1 + SLOWDOWN_WEIGHT * Math.max(0, slowdown - 1));
    double before = decayed(state, nowNanos);
    state.average = before + REPORT_GAIN * (Math.min(MAX_PRESSURE, sample) - before);
    state.reports++;
    state.reportedNanos = nowNanos;
  }

  /** Handles the current state of the other entries. */
  public void advertised(Collection<FleetMember> others) {
    Map<Integer, double[]> sums = new HashMap<>();
    for (FleetMember member : others) {
      for (ServiceLoad load : member.serviceLoads()) {
        boolean isValid = load.pressure() >= 0 && load.pressure() <= MAX_PRESSURE;
        if (!isValid) {
          invalidCount++;
          continue;
        }
        double[] sum = sums.computeIfAbsent(load.serviceHash(), hash -> new double[2]);
        sum[0] += load.pressure();
        sum[1]++;
      }
    }
    int expected = Math.min(ADVERTISING_ENTRIES, others.size());
    Map<Integer, Advertised> next = new HashMap<>();
    sums.forEach(
        (hash, sum) ->
            next.put(
                hash,
                new Advertised(
                    sum[0] / sum[1], ADVERTISED_WEIGHT * Math.min(1, sum[1] / expected))));
    advertisedByHash = next;
  }

  /** Returns the pressure on a service; 0 when nothing is known. */
  public double pressure(String service, long nowNanos) {
    State state = byService.get(service);
    if (state == null || state.reports < MIN_REPORTS) {
      return 0;
    }
    double own = decayed(state, nowNanos);
    Advertised others = advertisedByHash.get(service.hashCode());
    return others == null ? own : own + others.weight() * (others.mean() - own);
  }

  /** Returns the level of a service, after updating it. */
  public PressureLevel level(String service, long nowNanos) {
    State state = byService.get(service);
    if (state == null) {
      return PressureLevel.NONE;
    }
    double pressure = pressure(service, nowNanos);
    PressureLevel before = state.level;
    PressureLevel next = nextLevel(state, pressure, nowNanos);
    if (next != before || isHeld(before, pressure)) {
      state.level = next;
      state.notBelowNanos = nowNanos;
    }
    if (next != before) {
      listener.changed(service, before, next, pressure);
    }
    return next;
  }

  /** Returns the level that {@link #level} would return, without updating it. */
  PressureLevel peekLevel(String service, long nowNanos) {
    State state = byService.get(service);
    return state == null
        ? PressureLevel.NONE
        : nextLevel(state, pressure(service, nowNanos), nowNanos);
  }

  private static PressureLevel nextLevel(State state, double pressure, long nowNanos) {
    PressureLevel reached = reachedLevel(pressure);
    if (reached.compareTo(state.level) > 0) {
      return reached;
    }
    boolean falls =
        !isHeld(state.level, pressure) && nowNanos - state.notBelowNanos >= FALL_DELAY_NANOS;
    return falls ? PressureLevel.values()[state.level.ordinal() - 1] : state.level;
  }

  private static boolean isHeld(PressureLevel level, double pressure) {
    return pressure >= BOUNDS[level.ordinal()] - FALL_MARGIN;
  }

  /**
   * Returns what this entry advertises: the services under pressure.
   *
   * @param entries number of entries, this one included
   * @param incarnation random number that identifies this entry
   */
  public List<ServiceLoad> toAdvertise(int entries, long incarnation, long nowNanos) {
    List<ServiceLoad> loads = new ArrayList<>();
    for (String service : byService.keySet()) {
      if (level(service, nowNanos) == PressureLevel.NONE) {
        continue;
      }
      int hash = service.hashCode();
      int position = Math.floorMod(Long.hashCode(incarnation) * 31 + hash, Math.max(1, entries));
      if (position < ADVERTISING_ENTRIES) {
        loads.add(new ServiceLoad(hash, pressure(service, nowNanos)));
      }
    }
    loads.sort(Comparator.comparingDouble(ServiceLoad::pressure).reversed());
    return loads.subList(0, Math.min(MAX_ADVERTISED, loads.size()));
  }

  /** Returns the pressure on each service of which a target has reported its load. */
  public Map<String, Double> pressures(long nowNanos) {
    Map<String, Double> pressures = new TreeMap<>();
    byService.keySet().forEach(service -> pressures.put(service, pressure(service, nowNanos)));
    return pressures;
  }

  /** Returns the number of advertised figures that were ignored since they were invalid. */
  public long invalidCount() {
    return invalidCount;
  }

  private static PressureLevel reachedLevel(double pressure) {
    PressureLevel reached = PressureLevel.NONE;
    for (PressureLevel level : PressureLevel.values()) {
      if (pressure >= BOUNDS[level.ordinal()]) {
        reached = level;
      }
    }
    return reached;
  }

  private static double decayed(State state, long nowNanos) {
    double idleNanos = nowNanos - state.reportedNanos - DECAY_NANOS;
    return idleNanos <= 0 ? state.average : state.average * Math.pow(0.5, idleNanos / DECAY_NANOS);
  }
}
