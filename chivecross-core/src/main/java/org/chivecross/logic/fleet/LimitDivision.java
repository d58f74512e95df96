package org.chivecross.logic.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.membership.RendezvousHash;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.LimitShare;

/**
 * Divides the request limits of targets, and the rates that they take while they warm up, among
 * entries. A small limit goes to few entries, chosen by a rendezvous hash of target and entry: if
 * each of many entries could send even a single request at once, they would exceed it together.
 *
 * <p>Invariants: the shares that entries with the same members compute add up to at most {@code
 * 0.65 * limit} requests per second and {@code 2 + 0.4 * limit} requests at once. In any 4 s they
 * are at most half of what targets bear, {@code 1.5 * 4 * limit + 5}, so that entries may even be
 * divided into two groups that don't know each other. Shares of a warm-up rate add up to {@code 0.5
 * * rate} and {@code 2 + 0.25 * rate}: in any second at most half of {@code 1.5 * rate + 8}. Not
 * thread-safe.
 */
final class LimitDivision {

  /** Entries that share the smallest limit; with two, the loss of one costs half of it. */
  private static final int MIN_SENDERS = 2;

  /**
   * How much of a limit is used.
   *
   * @param fraction used fraction of the limit
   * @param sendersPerRequest further entries for each request per second of the limit
   */
  private record Use(double fraction, double sendersPerRequest) {}

  private static final Use LIMIT_USE = new Use(0.65, 0.4);

  /** Targets bear a warm-up rate in windows of one second, a limit in those of four. */
  private static final Use WARM_UP_USE = new Use(0.5, 0.25);

  /**
   * Limit that is assumed for a target that takes less, in requests per second. A target without
   * any request could not respond that its limit has ended.
   */
  private static final double MIN_LIMIT = 0.1;

  /**
   * Time for which a silent entry keeps its share. It may be partitioned from this entry and still
   * send, and its process may start again.
   */
  private static final long SILENT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time after the start of this entry until its membership is complete. */
  private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Targets whose ranks are kept. */
  private static final int MAX_RANKS = 1_000;

  /** Another entry as it was last seen. */
  private record Sender(boolean mayReceiveRequests, long seenNanos) {

    boolean isOutdated(long nowNanos) {
      return !mayReceiveRequests || nowNanos - seenNanos > SILENT_RETENTION_NANOS;
    }
  }

  private final String ownIp;
  private final Map<String, Sender> others = new HashMap<>();
  private final Map<String, Integer> ranksByTarget = new HashMap<>();
  private long startedNanos = Long.MAX_VALUE;
  private boolean mayHaveShare;

  LimitDivision(String ownIp) {
    this.ownIp = ownIp;
  }

  /**
   * Records the entries that share the limits; the first call is made when the entry starts.
   *
   * @param serving whether this entry accepts callers and reaches targets
   * @param expectsOthers whether other entries are likely to run although none is known
   */
  void recordEntries(
      List<FleetMember> members, boolean serving, boolean expectsOthers, long nowNanos) {
    startedNanos = Math.min(startedNanos, nowNanos);
    Set<String> before = Set.copyOf(others.keySet());
    for (FleetMember member : members) {
      others.put(member.ip(), new Sender(member.ready() && !member.isolated(), nowNanos));
    }
    others.values().removeIf(sender -> sender.isOutdated(nowNanos));
    if (!before.equals(others.keySet()) || ranksByTarget.size() > MAX_RANKS) {
      ranksByTarget.clear();
    }
    mayHaveShare = serving && !(others.isEmpty() && expectsOthers);
  }

  /**
   * Returns this entry's share of a limit.
   *
   * @param targetId name of the target
   * @param limit requests per second that the target takes from all entries together
   * @param ageMillis time since the last response that named the limit, in ms
   */
  LimitShare shareOf(String targetId, double limit, long ageMillis, long nowNanos) {
    return shareOf(targetId, Math.max(MIN_LIMIT, limit), LIMIT_USE, ageMillis, nowNanos);
  }

  /**
   * Returns this entry's share of the rate that a target takes while it warms up.
   *
   * @param perSecond requests per second that it takes from all entries together; above 0
   */
  LimitShare warmUpShareOf(String targetId, double perSecond, long nowNanos) {
    return shareOf(targetId, perSecond, WARM_UP_USE, 0, nowNanos);
  }

  private LimitShare shareOf(
      String targetId, double limit, Use use, long ageMillis, long nowNanos) {
    if (!mayHaveShare(nowNanos)) {
      return LimitShare.none(ageMillis);
    }
    double burst = MIN_SENDERS + use.sendersPerRequest() * limit;
    int senders = Math.min((int) burst, others.size() + 1);
    if (ranksByTarget.computeIfAbsent(targetId, id -> ownRank(RendezvousHash.of(id))) >= senders) {
      return LimitShare.none(ageMillis);
    }
    return new LimitShare(use.fraction() * limit / senders, burst / senders, ageMillis);
  }

  /** Returns whether this entry is the first of all in the order that belongs to a key. */
  boolean isFirst(long key, long nowNanos) {
    return mayHaveShare(nowNanos) && ownRank(key) == 0;
  }

  private boolean mayHaveShare(long nowNanos) {
    return mayHaveShare && nowNanos - SETTLING_NANOS >= startedNanos;
  }

  private int ownRank(long key) {
    long own = RendezvousHash.weight(key, RendezvousHash.of(ownIp));
    int rank = 0;
    for (String ip : others.keySet()) {
      if (RendezvousHash.weight(key, RendezvousHash.of(ip)) > own) {
        rank++;
      }
    }
    return rank;
  }
}
