package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Outstanding probes by nonce. Not thread-safe; the tick thread owns it.
 *
 * <p>Invariant: a nonce is in the table from the send of its ping until the answer or the timeout.
 */
final class ProbeTable {

  /** Why a ping was sent. */
  enum Purpose {
    /** Direct probe of a ring successor, for this entry itself. */
    DIRECT,
    /** Ping on behalf of another entry. */
    RELAYED,
    /** Ping to an address at which no live entry is known. */
    CONTACT
  }

  /**
   * An outstanding probe.
   *
   * @param subject incarnation that is expected to answer; 0 when unknown
   * @param address address it was sent to
   * @param purpose why it was sent
   * @param requester address that the answer is relayed to; empty unless relayed
   * @param requesterNonce nonce that the requester sent; 0 unless relayed
   * @param sentNanos monotonic time at which it was sent
   * @param indirect whether other entries were asked for an indirect probe
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

  /** Removes and returns a probe; null for an unknown nonce. */
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

  /** Marks direct probes of at least {@code ageNanos} as indirect and returns their nonces. */
  List<Long> markIndirect(long nowNanos, long ageNanos) {
    List<Long> nonces = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      boolean waiting = probe.purpose() == Purpose.DIRECT && !probe.indirect();
      if (!waiting || nowNanos - probe.sentNanos() < ageNanos) {
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
      nonces.add(entry.getKey());
    }
    return nonces;
  }

  Probe get(long nonce) {
    Probe probe = probes.get(nonce);
    if (probe == null) {
      throw new IllegalArgumentException("no outstanding probe with nonce " + nonce);
    }
    return probe;
  }

  /** Removes all probes of at least {@code ageNanos} and returns the direct ones among them. */
  List<Probe> expire(long nowNanos, long ageNanos) {
    List<Probe> missed = new ArrayList<>();
    for (Iterator<Probe> probe = probes.values().iterator(); probe.hasNext(); ) {
      Probe next = probe.next();
      if (nowNanos - next.sentNanos() < ageNanos) {
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
