package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.chivecross.logic.membership.ProbeTable.Probe;
import org.chivecross.logic.membership.ProbeTable.Purpose;
import org.chivecross.logic.peer.PeerOutbox;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.EntryTable;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * Probes other entries directly and indirectly (through other entries) and matches the answers.
 *
 * <p>Invariant: at most one direct probe per entry is outstanding. Not thread-safe; the tick thread
 * owns it.
 */
final class MemberProbes {

  /** Sends a ping. */
  @FunctionalInterface
  interface Pinger {
    /** Sends a ping with a nonce to an address. */
    void ping(String address, long nonce);
  }

  private static final String NO_REQUESTER = "";
  private static final long UNKNOWN_SUBJECT = 0;

  private final MembershipPreferences preferences;
  private final EntryTable table;
  private final PeerOutbox outbox;
  private final RandomGenerator random;
  private final Pinger pinger;
  private final ProbeTable probes = new ProbeTable();
  private long lastNonce;

  MemberProbes(
      MembershipPreferences preferences,
      EntryTable table,
      PeerOutbox outbox,
      RandomGenerator random,
      Pinger pinger) {
    this.preferences = preferences;
    this.table = table;
    this.outbox = outbox;
    this.random = random;
    this.pinger = pinger;
  }

  /** Probes the entries that have no outstanding direct probe from this entry. */
  void probe(List<EntryMember> subjects, long nowNanos) {
    for (EntryMember subject : subjects) {
      if (!probes.isProbing(subject.incarnation())) {
        send(subject.incarnation(), subject.peerAddress(), Purpose.DIRECT, nowNanos);
      }
    }
  }

  /** Pings an address at which no live entry is known, to find an entry there. */
  void probeContact(String address, long nowNanos) {
    send(UNKNOWN_SUBJECT, address, Purpose.CONTACT, nowNanos);
  }

  /** Pings an entry on behalf of another entry, which gets the answer relayed. */
  void relay(Sender requester, PeerMessage.IndirectPing request, long nowNanos) {
    int row = table.rowOf(request.subject());
    if (row == EntryTable.NONE) {
      return;
    }
    String address = table.member(row).peerAddress();
    lastNonce++;
    probes.add(
        lastNonce,
        new Probe(
            request.subject(),
            address,
            Purpose.RELAYED,
            requester.peerAddress(),
            request.nonce(),
            nowNanos,
            false));
    pinger.ping(address, lastNonce);
  }

  /**
   * Handles the answer to a probe.
   *
   * @return row of an entry that has ended for certain, since another incarnation answered at its
   *     address
   */
  OptionalInt receiveAck(Sender sender, PeerMessage.Ack ack) {
    Probe probe = probes.remove(ack.nonce());
    if (probe == null) {
      return OptionalInt.empty();
    }
    if (probe.purpose() == Purpose.RELAYED) {
      if (ack.subject() == probe.subject()) {
        outbox.send(
            probe.requester(),
            new PeerMessage.Ack(
                probe.requesterNonce(), ack.subject(), ack.tableDigest(), ack.offer()));
      }
      return OptionalInt.empty();
    }
    boolean replaced =
        probe.purpose() == Purpose.DIRECT
            && sender.peerAddress().equals(probe.address())
            && ack.subject() != probe.subject();
    int row = table.rowOf(probe.subject());
    return replaced && row != EntryTable.NONE ? OptionalInt.of(row) : OptionalInt.empty();
  }

  /**
   * Starts indirect probes where the direct one timed out, and removes probes whose total time is
   * over.
   *
   * @return rows of the entries that answered neither their direct nor their indirect probe
   */
  List<Integer> expire(long nowNanos) {
    for (long nonce : probes.markIndirect(nowNanos, preferences.directTimeoutNanos())) {
      Probe probe = probes.get(nonce);
      // A half-open connection gives no answer while new ones work, so the probe is repeated on a
      // new connection.
      outbox.reset(probe.address());
      pinger.ping(probe.address(), nonce);
      for (String helper : helpers(probe.subject())) {
        outbox.send(helper, new PeerMessage.IndirectPing(nonce, probe.subject()));
      }
    }
    List<Integer> rows = new ArrayList<>();
    long timeout = preferences.directTimeoutNanos() + preferences.probePeriodNanos();
    for (Probe missed : probes.expire(nowNanos, timeout)) {
      int row = table.rowOf(missed.subject());
      if (row != EntryTable.NONE) {
        rows.add(row);
      }
    }
    return rows;
  }

  void clear() {
    probes.clear();
  }

  private void send(long subject, String address, Purpose purpose, long nowNanos) {
    lastNonce++;
    probes.add(lastNonce, new Probe(subject, address, purpose, NO_REQUESTER, 0, nowNanos, false));
    pinger.ping(address, lastNonce);
  }

  private List<String> helpers(long subject) {
    List<String> live = new ArrayList<>();
    for (EntryMember member : table.members()) {
      if (member.state() == MemberState.ALIVE && member.incarnation() != subject) {
        live.add(member.peerAddress());
      }
    }
    List<String> chosen = new ArrayList<>();
    while (chosen.size() < preferences.indirectProbers() && !live.isEmpty()) {
      chosen.add(live.remove(random.nextInt(live.size())));
    }
    return chosen;
  }
}
