package org.chivecross.logic.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.LimitShare;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Targets that take a limited number of requests from all entries together, since they named a
 * limit or warm up. They are not probed, and get a request only if the token bucket of this entry's
 * share allows it. Not thread-safe.
 *
 * <p>Invariant: a bucket is nearly empty when the entry learns of the limit or gets a share of it.
 */
final class LimitedTargets {

  /**
   * Age of the last response of a limited target from which the next request goes there, to learn
   * whether the limit still holds.
   */
  private static final long MAX_RESPONSE_AGE_MILLIS = 1_000;

  /** Time for which a bucket is filled at once; the entry may have had no share before. */
  private static final double MAX_REFILL_SECONDS = 1;

  /** Remembered failures from which a target gets no request; one lasts for some seconds. */
  private static final double MAX_FAILURES = 0.25;

  /** Buckets from which those of targets without a limit are dropped. */
  private static final int MAX_BUCKETS = 512;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Token bucket of one run of a target. */
  private static final class Bucket {
    private double tokens;
    private long refilledNanos;

    Bucket(long nowNanos) {
      refilledNanos = nowNanos;
    }

    /** Returns the tokens after a refill, which is not made. */
    double refilled(LimitShare share, long nowNanos) {
      double seconds = Math.min(MAX_REFILL_SECONDS, (nowNanos - refilledNanos) / NANOS_PER_SECOND);
      return Math.min(share.burst(), tokens + share.requestsPerSecond() * seconds);
    }

    void refill(LimitShare share, long nowNanos) {
      tokens = refilled(share, nowNanos);
      refilledNanos = nowNanos;
    }
  }

  private final RequestLimitPort port;
  private final DispatchTargetTable targets;
  private final TargetRanking ranking;
  private final Map<TargetIncarnation, Bucket> buckets = new HashMap<>();
  private long sentCount;

  /**
   * State of a limited target.
   *
   * @param share this entry's share of the limit
   * @param tokens requests that this entry may send now
   */
  record Peek(LimitShare share, double tokens) {

    boolean hasToken() {
      return tokens >= 1;
    }

    /** Returns when a token is available; {@code Long.MAX_VALUE} without a share. */
    long nextTokenNanos(long nowNanos) {
      if (share.requestsPerSecond() <= 0) {
        return Long.MAX_VALUE;
      }
      double missing = Math.max(0, 1 - tokens);
      return nowNanos + (long) (missing / share.requestsPerSecond() * NANOS_PER_SECOND) + 1;
    }

    /** Returns whether no entry had a response of the target lately. */
    boolean isUnsampled() {
      return share.ageMillis() > MAX_RESPONSE_AGE_MILLIS;
    }
  }

  LimitedTargets(RequestLimitPort port, DispatchTargetTable targets, TargetRanking ranking) {
    this.port = port;
    this.targets = targets;
    this.ranking = ranking;
  }

  /**
   * Handles what a response of a target said about its limit.
   *
   * @param requestsPerSecond the limit; empty if a response to a served request named none
   */
  void stated(int row, OptionalDouble requestsPerSecond, long nowNanos) {
    targets.target(row).ifPresent(target -> port.responded(target, requestsPerSecond, nowNanos));
  }

  /** Handles a response that said that its target warms up for some time. */
  void warmingUp(int row, long remainingMillis, long nowNanos) {
    targets.warmUp(row, remainingMillis, nowNanos);
    targets.target(row).ifPresent(target -> port.warmingUp(target, remainingMillis, nowNanos));
  }

  /** Returns the rows of targets without a limit. */
  int[] withoutLimit(int[] rows, long nowNanos) {
    boolean[] limited = new boolean[rows.length];
    boolean isAnyLimited = false;
    for (int i = 0; i < rows.length; i++) {
      Optional<LimitShare> share = share(rows[i], nowNanos);
      limited[i] = share.isPresent();
      isAnyLimited |= limited[i];
      if (share.isPresent()) {
        tokens(rows[i], share.get(), nowNanos);
      }
    }
    if (!isAnyLimited) {
      return rows;
    }
    int[] others = new int[rows.length];
    int count = 0;
    for (int i = 0; i < rows.length; i++) {
      if (!limited[i]) {
        others[count++] = rows[i];
      }
    }
    return Arrays.copyOf(others, count);
  }

  /**
   * Takes a token of a limited target from which no entry had a response lately.
   *
   * @return its row, or {@link DispatchTargetTable#NONE}
   */
  int takeUnsampled(PlacementTicket ticket, int[] rows, long nowNanos) {
    for (int row : rows) {
      Optional<LimitShare> share = share(row, nowNanos);
      if (share.isPresent()
          && share.get().ageMillis() > MAX_RESPONSE_AGE_MILLIS
          && mayTry(ticket, row, nowNanos)
          && tokens(row, share.get(), nowNanos) >= 1) {
        return takeToken(row);
      }
    }
    return DispatchTargetTable.NONE;
  }

  /**
   * Takes a token of the best limited target that has one.
   *
   * @return its row, or {@link DispatchTargetTable#NONE}
   */
  int take(PlacementTicket ticket, int[] rows, long nowNanos) {
    int[] withToken =
        Arrays.stream(rows)
            .filter(row -> mayTry(ticket, row, nowNanos) && hasToken(row, nowNanos))
            .toArray();
    if (withToken.length == 0) {
      return DispatchTargetTable.NONE;
    }
    int best = ranking.best(ticket, withToken, Long.MAX_VALUE, nowNanos);
    return takeToken(best == DispatchTargetTable.NONE ? withToken[0] : best);
  }

  /**
   * Returns when the next token is available; {@code Long.MAX_VALUE} if this entry has no share.
   */
  long nextTokenNanos(PlacementTicket ticket, int[] rows, long nowNanos) {
    long next = Long.MAX_VALUE;
    for (int row : rows) {
      Optional<LimitShare> share = share(row, nowNanos);
      if (share.isEmpty() || ticket.isTried(row)) {
        continue;
      }
      Peek peek = new Peek(share.get(), tokens(row, share.get(), nowNanos));
      next = Math.min(next, peek.nextTokenNanos(nowNanos));
    }
    return next;
  }

  /** Returns the number of requests that were placed on limited targets. */
  long sentCount() {
    return sentCount;
  }

  /** Without probes, a target that doesn't respond would get requests until it is removed. */
  boolean mayTry(PlacementTicket ticket, int row, long nowNanos) {
    return !ticket.isTried(row) && targets.failures(row, nowNanos) < MAX_FAILURES;
  }

  /** Returns the state of a limited target without changing it; empty if it has no limit. */
  Optional<Peek> peek(int row, long nowNanos) {
    return share(row, nowNanos).map(share -> new Peek(share, peekTokens(row, share, nowNanos)));
  }

  private double peekTokens(int row, LimitShare share, long nowNanos) {
    Bucket bucket = buckets.get(incarnation(row));
    return bucket == null ? 0 : bucket.refilled(share, nowNanos);
  }

  private boolean hasToken(int row, long nowNanos) {
    Optional<LimitShare> share = share(row, nowNanos);
    return share.isPresent() && tokens(row, share.get(), nowNanos) >= 1;
  }

  private double tokens(int row, LimitShare share, long nowNanos) {
    if (buckets.size() >= MAX_BUCKETS) {
      buckets.clear();
    }
    Bucket bucket = buckets.computeIfAbsent(incarnation(row), run -> new Bucket(nowNanos));
    bucket.refill(share, nowNanos);
    return bucket.tokens;
  }

  private int takeToken(int row) {
    Bucket bucket = buckets.get(incarnation(row));
    if (bucket != null) {
      bucket.tokens--;
    }
    sentCount++;
    return row;
  }

  private Optional<LimitShare> share(int row, long nowNanos) {
    return targets.target(row).flatMap(target -> port.shareOf(target, nowNanos));
  }

  private TargetIncarnation incarnation(int row) {
    RegisteredTarget target = targets.target(row).orElseThrow();
    return new TargetIncarnation(target.id(), target.startedAtMillis());
  }
}
