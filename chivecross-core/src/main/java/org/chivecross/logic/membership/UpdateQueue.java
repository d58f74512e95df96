package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.logic.peer.PeerOutbox;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.PeerMessage;

/**
 * Queue of claims to gossip. Not thread-safe; the tick thread owns it.
 *
 * <p>Invariant: at most one claim is queued per incarnation, the one that overrides all others.
 */
final class UpdateQueue {

  private static final int MAX_CLAIMS_PER_FLUSH = 64;

  private final PeerOutbox outbox;
  private final long periodNanos;
  private final Map<Long, EntryMember> queued = new LinkedHashMap<>();
  private long nextFlushNanos;
  private boolean flushed;

  UpdateQueue(PeerOutbox outbox, long periodNanos) {
    this.outbox = outbox;
    this.periodNanos = periodNanos;
  }

  void add(EntryMember claim) {
    queued.merge(claim.incarnation(), claim, (old, added) -> added.overrides(old) ? added : old);
  }

  /** Sends a batch of the oldest claims to the receivers, at most once per period. */
  void flush(List<EntryMember> receivers, long nowNanos) {
    if (queued.isEmpty() || receivers.isEmpty() || (flushed && nowNanos < nextFlushNanos)) {
      return;
    }
    flushed = true;
    nextFlushNanos = nowNanos + periodNanos;
    List<EntryMember> batch = new ArrayList<>();
    Iterator<EntryMember> claims = queued.values().iterator();
    while (claims.hasNext() && batch.size() < MAX_CLAIMS_PER_FLUSH) {
      batch.add(claims.next());
      claims.remove();
    }
    PeerMessage.MemberUpdate update = new PeerMessage.MemberUpdate(batch);
    for (EntryMember receiver : receivers) {
      outbox.send(receiver.peerAddress(), update);
    }
  }
}
