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
 * Detects failed entries and keeps the view of all entries.
 *
 * <p>Each entry probes its successors on a few rings. A missed probe is repeated through other
 * entries, then the entry is suspected, and it counts as dead unless it refutes in time. Claims are
 * merged by {@link EntryMember#overrides}, so their order and repeats don't matter.
 *
 * <p>Invariant: a process that was paused judges nobody by probes that it sent before the pause.
 * Not thread-safe; the tick thread calls all methods.
 */
public final class MembershipSystem {

  private static final long REFRESH_NANOS = 2_000_000_000L;
  private static final long SYNC_PERIOD_NANOS = 5_000_000_000L;
  private static final long FLUSH_PERIOD_NANOS = 20_000_000L;
  private static final long RENEWAL_PERIOD_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final long AGING_PERIOD_NANOS = 100_000_000L;
  private static final int MISMATCHES_BEFORE_SYNC = 3 * 4;
  private static final int CONTACTS_PER_PERIOD = 3;
  private static final int CONTACTS_AT_START = 8;
  private static final int REFRESH_PEERS = 3;

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
  private boolean fresh = true;
  private long refreshUntilNanos;
  private long lastTickNanos;
  private long startedNanos;
  private long nextRenewalNanos;
  private long nextProbeNanos;
  private long nextContactNanos;
  private long nextSyncNanos;
  private long nextAgingNanos;
  private int mismatches;
  private long publishedRevision = -1;

  /**
   * Creates the system.
   *
   * @param self this entry
   * @param table table that only this system changes
   * @param offers versions that this entry holds
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

  /** Adds addresses that may have entries, from settings or the platform's list. */
  public void addContacts(List<String> addresses) {
    contacts.addAll(addresses);
    contacts.remove(self.peerAddress());
  }

  /** Replaces what this entry says of itself and tells the others. */
  public void setFlags(EntryFlags marks) {
    if (!marks.equals(self.flags())) {
      renewSelf(nextSequence(self.sequence()), marks);
    }
  }

  /** Replaces the address for callers and tells the others. */
  public void setClientAddress(String clientAddress) {
    self = self.withClientAddress(clientAddress);
    renewSelf(nextSequence(self.sequence()), self.flags());
  }

  /** Tells the neighbours that this process ends now. */
  public void leave() {
    EntryMember gone = self.renewed(self.sequence() + 1, self.flags()).withState(MemberState.DEAD);
    for (EntryMember neighbour : neighbours().all()) {
      outbox.send(neighbour.peerAddress(), new PeerMessage.MemberUpdate(List.of(gone)));
    }
  }

  /** Runs everything that is due. */
  public void tick(long nowNanos) {
    if (!started) {
      start(nowNanos);
    } else if (nowNanos - lastTickNanos > preferences.pauseThresholdNanos()) {
      resume(nowNanos, nowNanos - lastTickNanos);
    }
    lastTickNanos = nowNanos;
    if (!fresh && nowNanos >= refreshUntilNanos) {
      fresh = true;
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
    if (nowNanos >= nextAgingNanos) {
      nextAgingNanos = nowNanos + AGING_PERIOD_NANOS;
      buryAndForget(nowNanos);
    }
    if (nowNanos >= nextContactNanos) {
      nextContactNanos = nowNanos + jittered(preferences.rejoinPeriodNanos());
      contact(CONTACTS_PER_PERIOD, nowNanos);
    }
    updates.flush(neighbours().all(), nowNanos);
    publish();
  }

  /** Takes in a message of another entry; messages of other systems are ignored. */
  public void receive(Sender sender, PeerMessage message, long nowNanos) {
    if (message instanceof PeerMessage.Ping ping) {
      receivePing(sender, ping);
    } else if (message instanceof PeerMessage.Ack ack) {
      receiveAck(sender, ack, nowNanos);
    } else if (message instanceof PeerMessage.IndirectPing indirect) {
      probes.relay(sender, indirect, nowNanos);
    } else if (message instanceof PeerMessage.MemberUpdate update) {
      mergeAll(sender, update.members(), true, nowNanos);
    } else if (message instanceof PeerMessage.SyncRequest request) {
      mergeAll(sender, request.members(), liveOthers() > 0, nowNanos);
      outbox.send(sender.peerAddress(), new PeerMessage.SyncResponse(claims(), offers.get()));
    } else if (message instanceof PeerMessage.SyncResponse response) {
      mergeAll(sender, response.members(), liveOthers() > 0, nowNanos);
      fresh = true;
    }
  }

  /** Returns the latest published view. */
  public MemberView view() {
    return view;
  }

  /** Returns the entries that news is passed to. */
  public List<EntryMember> gossipReceivers() {
    return neighbours().all();
  }

  private void start(long nowNanos) {
    started = true;
    startedNanos = nowNanos;
    nextRenewalNanos = nowNanos + RENEWAL_PERIOD_NANOS;
    nextProbeNanos = nowNanos + random.nextLong(preferences.probePeriodNanos());
    nextContactNanos = nowNanos + preferences.rejoinPeriodNanos() / 2;
    contact(CONTACTS_AT_START, nowNanos);
  }

  private void resume(long nowNanos, long gapNanos) {
    probes.clear();
    for (int row : table.rows()) {
      if (table.state(row) == MemberState.SUSPECT) {
        table.shiftStateSince(row, gapNanos);
      }
    }
    renewSelf(nextSequence(self.sequence()), self.flags());
    fresh = liveOthers() == 0;
    refreshUntilNanos = nowNanos + REFRESH_NANOS;
    List<EntryMember> asked = new ArrayList<>(neighbours().all());
    for (EntryMember peer : asked.subList(0, Math.min(REFRESH_PEERS, asked.size()))) {
      outbox.send(peer.peerAddress(), new PeerMessage.SyncRequest(claims()));
    }
  }

  private void receivePing(Sender sender, PeerMessage.Ping ping) {
    outbox.send(
        sender.peerAddress(),
        new PeerMessage.Ack(ping.nonce(), self.incarnation(), table.digest(), offers.get()));
    int row = table.rowOf(sender.incarnation());
    if (row == EntryTable.NONE) {
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(claims()));
    } else if (table.state(row) != MemberState.ALIVE) {
      // Only the sender itself can refute, so it must learn what is believed of it.
      outbox.send(sender.peerAddress(), new PeerMessage.MemberUpdate(List.of(table.member(row))));
    }
  }

  private void receiveAck(Sender sender, PeerMessage.Ack ack, long nowNanos) {
    probes.answered(sender, ack).ifPresent(row -> bury(row, nowNanos));
    int row = table.rowOf(sender.incarnation());
    if (row == EntryTable.NONE || table.state(row) == MemberState.DEAD) {
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(claims()));
      return;
    }
    mismatches = ack.tableDigest() == digestWithSelf(sender) ? 0 : mismatches + 1;
    if (mismatches >= MISMATCHES_BEFORE_SYNC && nowNanos >= nextSyncNanos) {
      mismatches = 0;
      nextSyncNanos = nowNanos + jittered(SYNC_PERIOD_NANOS);
      outbox.send(sender.peerAddress(), new PeerMessage.SyncRequest(claims()));
    }
  }

  /** Tables hold all entries but their owner, so both digests are completed by one entry each. */
  private long digestWithSelf(Sender sender) {
    int row = table.rowOf(sender.incarnation());
    return table.digest() ^ EntryTable.hash(table.member(row)) ^ EntryTable.hash(self);
  }

  private void mergeAll(Sender sender, List<EntryMember> claims, boolean passOn, long nowNanos) {
    for (EntryMember claim : claims) {
      if (claim.incarnation() == self.incarnation()) {
        refute(claim);
        continue;
      }
      boolean unknown = table.rowOf(claim.incarnation()) == EntryTable.NONE;
      EntryMember softened = soften(claim);
      if (!table.merge(softened, nowNanos)) {
        continue;
      }
      if (passOn) {
        updates.add(softened);
      }
      if (unknown && claim.incarnation() == sender.incarnation()) {
        buryPredecessors(claim, nowNanos);
      }
    }
  }

  /** A death that nobody here suspected becomes a suspicion, so that the entry can refute it. */
  private EntryMember soften(EntryMember claim) {
    int row = table.rowOf(claim.incarnation());
    if (claim.state() != MemberState.DEAD || row == EntryTable.NONE) {
      return claim;
    }
    EntryMember known = table.member(row);
    boolean surprising = known.state() == MemberState.ALIVE && claim.sequence() == known.sequence();
    return surprising ? claim.withState(MemberState.SUSPECT) : claim;
  }

  /** A new process answers at this address, so earlier ones there are gone. */
  private void buryPredecessors(EntryMember successor, long nowNanos) {
    for (int row : table.rows()) {
      EntryMember other = table.member(row);
      boolean replaced =
          other.peerAddress().equals(successor.peerAddress())
              && other.incarnation() != successor.incarnation();
      if (replaced) {
        bury(row, nowNanos);
      }
    }
  }

  private void refute(EntryMember claim) {
    if (claim.overrides(self)) {
      renewSelf(nextSequence(claim.sequence()), self.flags());
    }
  }

  /**
   * Sequences follow the time since the start in ms, so that others can tell from the latest claim
   * for how long this entry has been up at least.
   */
  private long nextSequence(long above) {
    if (!started) {
      return above + 1;
    }
    return Math.max(above + 1, TimeUnit.NANOSECONDS.toMillis(lastTickNanos - startedNanos));
  }

  private void renewSelf(long sequence, EntryFlags marks) {
    self = self.renewed(sequence, marks);
    updates.add(self);
    publish();
  }

  private void suspect(int row, long nowNanos) {
    EntryMember member = table.member(row);
    if (member.state() == MemberState.ALIVE) {
      change(member.withState(MemberState.SUSPECT), nowNanos);
    }
  }

  private void bury(int row, long nowNanos) {
    change(table.member(row).withState(MemberState.DEAD), nowNanos);
  }

  private void change(EntryMember claim, long nowNanos) {
    if (table.merge(claim, nowNanos)) {
      updates.add(claim);
    }
  }

  private void buryAndForget(long nowNanos) {
    for (int row : table.rows()) {
      long age = nowNanos - table.stateSinceNanos(row);
      if (table.state(row) == MemberState.SUSPECT && age >= preferences.suspicionTimeoutNanos()) {
        bury(row, nowNanos);
      } else if (table.state(row) == MemberState.DEAD && age >= preferences.deadRetentionNanos()) {
        table.remove(row);
      }
    }
  }

  private void contact(int count, long nowNanos) {
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
      probes.contact(address, nowNanos);
    }
  }

  private void ping(String address, long nonce) {
    outbox.send(address, new PeerMessage.Ping(nonce, table.digest(), offers.get()));
  }

  private List<EntryMember> claims() {
    List<EntryMember> claims = table.members();
    claims.add(self);
    return claims;
  }

  private int liveOthers() {
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
        view.self().equals(self) && view.fresh() == fresh && publishedRevision == table.revision();
    if (!same) {
      publishedRevision = table.revision();
      view = new MemberView(self, table.members(), fresh);
    }
  }

  private long jittered(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }
}
