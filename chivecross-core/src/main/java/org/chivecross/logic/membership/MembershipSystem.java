package org.chivecross.logic.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chivecross.logic.peer.PeerOutbox;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.EntryTable;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * Gossip membership with a failure detector: keeps one entry's view of all entries.
 *
 * <p>Each entry probes its successors on a few rings. When a direct probe times out, other entries
 * probe indirectly. An entry that answers neither is suspected, and declared dead unless it refutes
 * the suspicion in time. Claims are merged by {@link EntryMember#overrides}, so neither their order
 * nor duplicates affect the result.
 *
 * <p>Invariant: after a pause this process suspects no entry because of a probe that it sent before
 * the pause. Not thread-safe; the tick thread calls all methods.
 */
public final class MembershipSystem {

  private static final long REFRESH_TIMEOUT_NANOS = 2_000_000_000L;
  private static final long SYNC_PERIOD_NANOS = 5_000_000_000L;
  private static final long FLUSH_PERIOD_NANOS = 20_000_000L;
  private static final long RENEWAL_PERIOD_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final long EXPIRY_PERIOD_NANOS = 100_000_000L;
  private static final int DIGEST_MISMATCHES_BEFORE_SYNC = 3 * 4;
  private static final int CONTACT_PINGS_PER_PERIOD = 3;
  private static final int CONTACT_PINGS_AT_START = 8;
  private static final int REFRESH_PEER_COUNT = 3;

  private final MembershipPreferences preferences;
  private final EntryTable table;
  private final PeerOutbox outbox;
  private final RandomGenerator random;
  private final Supplier<ConfigOffer> offers;
  private final UpdateQueue updates;
  private final MemberProbes probes;
  private final Set<String> contacts = new LinkedHashSet<>();
  private EntryMember self;
  private MemberView view;
  private RingNeighbours neighbours;
  private long neighboursRevision = -1;
  private boolean started;
  private boolean isUpToDate = true;
  private long refreshUntilNanos;
  private long lastTickNanos;
  private long startedNanos;
  private long nextRenewalNanos;
  private long nextProbeNanos;
  private long nextContactNanos;
  private long nextSyncNanos;
  private long nextExpiryNanos;
  private int digestMismatches;
  private long publishedRevision = -1;

  /**
   * Creates the system.
   *
   * @param self this entry
   * @param table membership table; modified only by this system
   * @param offers supplies the configuration versions that this entry holds
   */
  public MembershipSystem(
      MembershipPreferences preferences,
      EntryMember self,
      EntryTable table,
      PeerOutbox outbox,
      RandomGenerator random,
      Supplier<ConfigOffer> offers) {
    this.preferences = preferences;
    this.self = self;
    this.table = table;
    this.outbox = outbox;
    this.random = random;
    this.offers = offers;
    updates = new UpdateQueue(outbox, FLUSH_PERIOD_NANOS);
    neighbours = RingNeighbours.of(self.incarnation(), List.of(), preferences.rings());
    probes = new MemberProbes(preferences, table, outbox, random, this::ping);
    view = new MemberView(self, List.of(), true);
  }

  /** Adds peer addresses at which entries may run, from the settings or the platform's list. */
  public void addContacts(List<String> addresses) {
    contacts.addAll(addresses);
    contacts.remove(self.peerAddress());
  }

  /** Replaces the flags that this entry advertises and gossips the change. */
  public void setFlags(EntryFlags flags) {
    if (!flags.equals(self.flags())) {
      renewSelf(nextSequence(self.sequence()), flags);
    }
  }

  /** Replaces the address for callers that this entry advertises and gossips the change. */
  public void setClientAddress(String clientAddress) {
    self = self.withClientAddress(clientAddress);
    renewSelf(nextSequence(self.sequence()), self.flags());
  }

  /** Sends the neighbours the claim that this process ends now. */
  public void leave() {
    EntryMember gone = self.renewed(self.sequence() + 1, self.flags()).withState(MemberState.DEAD);
    for (EntryMember neighbour : neighbours().all()) {
      outbox.send(neighbour.peerAddress(), new PeerMessage.MemberUpdate(List.of(gone)));
    }
  }

  /** Runs the timers that have expired. */
  public void tick(long nowNanos) {
    if (!started) {
      start(nowNanos);
    } else if (nowNanos - lastTickNanos > preferences.pauseThresholdNanos()) {
      resumeAfterPause(nowNanos, nowNanos - lastTickNanos);
    }
    lastTickNanos = nowNanos;
    if (!isUpToDate && nowNanos >= refreshUntilNanos) {
      isUpToDate = true;
    }
    probes.expire(nowNanos).forEach(row -> suspect(row, nowNanos));
    if (nowNanos >= nextProbeNanos) {
      nextProbeNanos = nowNanos + preferences.probePeriodNanos();
      probes.probe(neighbours().successors(), nowNanos);
    }
    if (nowNanos >= nextRenewalNanos) {
      nextRenewalNanos = nowNanos + RENEWAL_PERIOD_NANOS;
      renewSelf(nextSequence(self.sequence()), self.flags());
    }
    if (nowNanos >= nextExpiryNanos) {
      nextExpiryNanos = nowNanos + EXPIRY_PERIOD_NANOS;
      expireSuspectsAndDead(nowNanos);
    }
    if (nowNanos >= nextContactNanos) {
      nextContactNanos = nowNanos + jittered(preferences.rejoinPeriodNanos());
      pingContacts(CONTACT_PINGS_PER_PERIOD, nowNanos);
    }
    updates.flush(neighbours().all(), nowNanos);
    publish();
  }

  /** Handles a message from another entry; ignores messages of other systems. */
  public void receive(Sender sender, PeerMessage message, long nowNanos) {
    if (message instanceof PeerMessage.Ping ping) {
      receivePing(sender, ping);
    } else if (message instanceof PeerMessage.Ack ack) {
      receiveAck(sender, ack, nowNanos);
    } else if (message instanceof PeerMessage.IndirectPing indirect) {
      probes.relay(sender, indirect, nowNanos);
    } else if (message instanceof PeerMessage.MemberUpdate update) {
      mergeClaims(sender, update.members(), true, nowNanos);
    } else if (message instanceof PeerMessage.SyncRequest request) {
      mergeClaims(sender, request.members(), countOthersNotDead() > 0, nowNanos);
      outbox.send(sender.peerAddress(), new PeerMessage.SyncResponse(allClaims(), offers.get()));
    } else if (message instanceof PeerMessage.SyncResponse response) {
      mergeClaims(sender, response.members(), countOthersNotDead() > 0, nowNanos);
      isUpToDate = true;
    }
  }

  /** Returns the latest published view. */
  public MemberView view() {
    return view;
  }

  /** Returns the entries that gossip updates are sent to. */
  public List<EntryMember> gossipReceivers() {
    return neighbours().all();
  }

  private void start(long nowNanos) {
    started = true;
    startedNanos = nowNanos;
    nextRenewalNanos = nowNanos + RENEWAL_PERIOD_NANOS;
    nextProbeNanos = nowNanos + random.nextLong(preferences.probePeriodNanos());
    nextContactNanos = nowNanos + preferences.rejoinPeriodNanos() / 2;
    pingContacts(CONTACT_PINGS_AT_START, nowNanos);
  }

  private void resumeAfterPause(long nowNanos, long gapNanos) {
    probes.clear();
    for (int row : table.rows()) {
      if (table.state(row) == MemberState.SUSPECT) {
        table.shiftStateSince(row, gapNanos);
      }
    }
    renewSelf(nextSequence(self.sequence()), self.flags());
    isUpToDate = countOthersNotDead() == 0;
    refreshUntilNanos = nowNanos + REFRESH_TIMEOUT_NANOS;
    List<EntryMember> asked = new ArrayList<>(neighbours().all());
    for (EntryMember peer : asked.subList(0, Math.min(REFRESH_PEER_COUNT, asked.size()))) {
      outbox.send(peer.peerAddress(), new PeerMessage.SyncRequest(allClaims()));
    }
  }

  private void receivePing(Sender sender, PeerMessage.Ping ping) {
    outbox.send(
        sender.peerAddress(),
        new PeerMessage.Ack(ping.nonce(), self.incarnation(), table.digest(), offers.get()));
    int row = table.rowOf(sender.incarnation());
    if (row == EntryTable.NONE) {
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(allClaims()));
    } else if (table.state(row) != MemberState.ALIVE) {
      // Only the sender itself can refute, so it must receive the claim about itself.
      outbox.send(sender.peerAddress(), new PeerMessage.MemberUpdate(List.of(table.member(row))));
    }
  }

  private void receiveAck(Sender sender, PeerMessage.Ack ack, long nowNanos) {
    probes.receiveAck(sender, ack).ifPresent(row -> markDead(row, nowNanos));
    int row = table.rowOf(sender.incarnation());
    if (row == EntryTable.NONE || table.state(row) == MemberState.DEAD) {
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(allClaims()));
      return;
    }
    boolean isRelayed = ack.subject() != sender.incarnation();
    if (isRelayed) {
      // The digest is that of the subject's table, not of the sender's.
      return;
    }
    digestMismatches = ack.tableDigest() == digestWithSelf(sender) ? 0 : digestMismatches + 1;
    if (digestMismatches >= DIGEST_MISMATCHES_BEFORE_SYNC && nowNanos >= nextSyncNanos) {
      digestMismatches = 0;
      nextSyncNanos = nowNanos + jittered(SYNC_PERIOD_NANOS);
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(allClaims()));
    }
  }

  /**
   * Returns the digest that the sender's table has if both views agree. A table lacks its own
   * entry, so the sender's claim is taken out of this table's digest and the own claim is added.
   */
  private long digestWithSelf(Sender sender) {
    int row = table.rowOf(sender.incarnation());
    return table.digest() ^ EntryTable.hash(table.member(row)) ^ EntryTable.hash(self);
  }

  private void mergeClaims(Sender sender, List<EntryMember> claims, boolean gossip, long nowNanos) {
    for (EntryMember claim : claims) {
      if (claim.incarnation() == self.incarnation()) {
        refute(claim);
        continue;
      }
      boolean unknown = table.rowOf(claim.incarnation()) == EntryTable.NONE;
      EntryMember accepted = suspectUnexpectedDeath(claim);
      if (!table.merge(accepted, nowNanos)) {
        continue;
      }
      if (gossip) {
        updates.add(accepted);
      }
      if (unknown && claim.incarnation() == sender.incarnation()) {
        markPredecessorsDead(claim, nowNanos);
      }
    }
  }

  /** Turns a death claim about an unsuspected entry into a suspicion, so that it can be refuted. */
  private EntryMember suspectUnexpectedDeath(EntryMember claim) {
    int row = table.rowOf(claim.incarnation());
    if (claim.state() != MemberState.DEAD || row == EntryTable.NONE) {
      return claim;
    }
    EntryMember known = table.member(row);
    boolean unexpected = known.state() == MemberState.ALIVE && claim.sequence() == known.sequence();
    return unexpected ? claim.withState(MemberState.SUSPECT) : claim;
  }

  /** Marks earlier processes at the address of a new process as dead. */
  private void markPredecessorsDead(EntryMember successor, long nowNanos) {
    for (int row : table.rows()) {
      EntryMember other = table.member(row);
      boolean replaced =
          other.peerAddress().equals(successor.peerAddress())
              && other.incarnation() != successor.incarnation();
      if (replaced) {
        markDead(row, nowNanos);
      }
    }
  }

  private void refute(EntryMember claim) {
    if (claim.overrides(self)) {
      renewSelf(nextSequence(claim.sequence()), self.flags());
    }
  }

  /**
   * Returns a sequence above {@code above} and at least the ms since the start, so that others can
   * derive a minimum uptime of this entry from its latest claim.
   */
  private long nextSequence(long above) {
    if (!started) {
      return above + 1;
    }
    return Math.max(above + 1, TimeUnit.NANOSECONDS.toMillis(lastTickNanos - startedNanos));
  }

  private void renewSelf(long sequence, EntryFlags flags) {
    self = self.renewed(sequence, flags);
    updates.add(self);
    publish();
  }

  private void suspect(int row, long nowNanos) {
    EntryMember member = table.member(row);
    if (member.state() == MemberState.ALIVE) {
      applyAndGossip(member.withState(MemberState.SUSPECT), nowNanos);
    }
  }

  private void markDead(int row, long nowNanos) {
    applyAndGossip(table.member(row).withState(MemberState.DEAD), nowNanos);
  }

  private void applyAndGossip(EntryMember claim, long nowNanos) {
    if (table.merge(claim, nowNanos)) {
      updates.add(claim);
    }
  }

  private void expireSuspectsAndDead(long nowNanos) {
    for (int row : table.rows()) {
      long age = nowNanos - table.stateSinceNanos(row);
      if (table.state(row) == MemberState.SUSPECT && age >= preferences.suspicionTimeoutNanos()) {
        markDead(row, nowNanos);
      } else if (table.state(row) == MemberState.DEAD && age >= preferences.deadRetentionNanos()) {
        table.remove(row);
      }
    }
  }

  private void pingContacts(int count, long nowNanos) {
    Set<String> addresses = new LinkedHashSet<>(contacts);
    List<EntryMember> members = table.members();
    members.forEach(member -> addresses.add(member.peerAddress()));
    for (EntryMember member : members) {
      if (member.state() != MemberState.DEAD) {
        addresses.remove(member.peerAddress());
      }
    }
    List<String> candidates = new ArrayList<>(addresses);
    Collections.shuffle(candidates, new Random(random.nextLong()));
    for (String address : candidates.subList(0, Math.min(count, candidates.size()))) {
      probes.probeContact(address, nowNanos);
    }
  }

  private void ping(String address, long nonce) {
    outbox.send(address, new PeerMessage.Ping(nonce, table.digest(), offers.get()));
  }

  private List<EntryMember> allClaims() {
    List<EntryMember> claims = table.members();
    claims.add(self);
    return claims;
  }

  private int countOthersNotDead() {
    int live = 0;
    for (int row : table.rows()) {
      live += table.state(row) == MemberState.DEAD ? 0 : 1;
    }
    return live;
  }

  private RingNeighbours neighbours() {
    if (neighboursRevision != table.revision()) {
      neighboursRevision = table.revision();
      List<EntryMember> live = new ArrayList<>();
      for (EntryMember member : table.members()) {
        if (member.state() != MemberState.DEAD) {
          live.add(member);
        }
      }
      neighbours = RingNeighbours.of(self.incarnation(), live, preferences.rings());
    }
    return neighbours;
  }

  private void publish() {
    boolean same =
        view.self().equals(self)
            && view.isUpToDate() == isUpToDate
            && publishedRevision == table.revision();
    if (!same) {
      publishedRevision = table.revision();
      view = new MemberView(self, table.members(), isUpToDate);
    }
  }

  private long jittered(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }
}
