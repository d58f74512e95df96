package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Probes that wait for an answer, by nonce. Not thread-safe; the tick thread owns it.
 *
 * <p>Invariant: each nonce is in the table from its send until its answer or its expiry.
 */
final class ProbeTable {

  /** Why a ping was sent. */
  enum Purpose {
    /** Own probe of a neighbour. */
    DIRECT,
    /** Ping on behalf of another entry. */
    RELAYED,
    /** Call to an address that no live entry has. */
    CONTACT
  }

  /**
   * A probe on its way.
   *
   * @param subject incarnation that should answer; 0 when unknown
   * @param address address it was sent to
   * @param purpose why it was sent
   * @param requester address that the answer is passed on to; empty unless relayed
   * @param requesterNonce nonce of the requester
   * @param sentNanos when it was sent
   * @param indirect whether others were asked
   */
  record Probe(
      long subject,
      String address,
      Purpose purpose,
      String requester,
      long requesterNonce,
      long sentNanos,
      boolean indirect) {}

  private final Map<Long, Probe> probes = new HashMap<>();

  void add(long nonce, Probe probe) {
    probes.put(nonce, probe);
  }

  /** Removes and returns a probe; null when it is unknown. */
  @Nullable Probe remove(long nonce) {
    return probes.remove(nonce);
  }

  boolean isProbing(long subject) {
    for (Probe probe : probes.values()) {
      if (probe.subject() == subject && probe.purpose() == Purpose.DIRECT) {
        return true;
      }
    }
    return false;
  }

  /** Marks direct probes older than {@code age} as indirect and returns their nonces. */
  List<Long> turnIndirect(long nowNanos, long age) {
    List<Long> due = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      boolean waiting = probe.purpose() == Purpose.DIRECT && !probe.indirect();
      if (!waiting || nowNanos - probe.sentNanos() < age) {
        continue;
      }
      entry.setValue(
          new Probe(
              probe.subject(),
              probe.address(),
              probe.purpose(),
              probe.requester(),
              probe.requesterNonce(),
              probe.sentNanos(),
              true));
      due.add(entry.getKey());
    }
    return due;
  }

  Probe get(long nonce) {
    Probe probe = probes.get(nonce);
    if (probe == null) {
      throw new IllegalArgumentException("no probe " + nonce);
    }
    return probe;
  }

  /** Removes all probes older than {@code age} and returns the direct ones among them. */
  List<Probe> expire(long nowNanos, long age) {
    List<Probe> missed = new ArrayList<>();
    for (Iterator<Probe> probe = probes.values().iterator(); probe.hasNext(); ) {
      Probe next = probe.next();
      if (nowNanos - next.sentNanos() < age) {
        continue;
      }
      probe.remove();
      if (next.purpose() == Purpose.DIRECT) {
        missed.add(next);
      }
    }
    return missed;
  }

  void clear() {
    probes.clear();
  }
}
