package org.chivecross.logic.peer;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.chivecross.logic.config.ConfigSystem;
import org.chivecross.logic.config.FileSetCheck;
import org.chivecross.logic.config.PlatformCalls;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.logic.config.StartupGate;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.membership.MembershipSystem;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.EntryTable;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * One entry as a node of the peer network: runs membership, configuration replication and the
 * startup gate, driven only by events and ticks.
 *
 * <p>Invariant: the published view is as of the latest tick. One thread calls all methods but
 * {@link #view}, which any thread may call.
 */
public final class PeerNode {

  private static final int MAX_ENTRIES_WITH_PLATFORM_UNREACHABLE = 12;

  private final MembershipSystem membership;
  private final ConfigSystem config;
  private final StartupGate gate;
  private final LeavingMarkGossip leavingMarkGossip;
  private boolean serving;
  private boolean leaving;
  private boolean overloaded;
  private boolean advertisesPlatformUnreachable;
  private volatile NodeView view;

  /**
   * Creates a node with an empty membership.
   *
   * @param inForceListener receives each file set that is put in force
   */
  public PeerNode(
      PeerNodePreferences preferences,
      FileSetCheck check,
      PeerOutbox outbox,
      PlatformCalls platform,
      RandomGenerator random,
      BiConsumer<ConfigVersion, FileSet> inForceListener) {
    membership =
        new MembershipSystem(
            preferences.membership(),
            preferences.self(),
            new EntryTable(preferences.tableCapacity()),
            outbox,
            random,
            this::offer);
    membership.addContacts(preferences.contacts());
    config =
        new ConfigSystem(
            preferences.config(),
            preferences.deployment(),
            check,
            outbox,
            platform,
            random,
            membership::gossipReceivers,
            inForceListener);
    gate = new StartupGate(preferences.config(), config);
    leavingMarkGossip = new LeavingMarkGossip(outbox, membership::gossipReceivers);
    view = new NodeView(membership.view(), config.view(), false, gate.waitingFor());
  }

  /** Runs the timers that have expired and publishes a new view. */
  public void tick(long nowNanos) {
    membership.tick(nowNanos);
    config.tick(membership.view(), nowNanos);
    gate.tick(membership.view(), nowNanos);
    membership.setFlags(flags());
    MemberView members = membership.view();
    view = new NodeView(members, config.view(), isReady(members), waitingFor(members));
  }

  /** Handles a message from another entry. */
  public void receive(Sender sender, PeerMessage message, long nowNanos) {
    membership.receive(sender, message, nowNanos);
    config.receive(sender, message, nowNanos);
  }

  /** Handles the result of a read or a watch of the manifest on the platform. */
  public void manifestRead(boolean isWatch, Result<PlatformValue> result, long nowNanos) {
    config.manifestRead(isWatch, result, nowNanos);
  }

  /** Handles the result of a read of a file on the platform. */
  public void fileRead(String digest, Result<byte[]> result, long nowNanos) {
    config.fileRead(digest, result, nowNanos);
  }

  /** Adds peer addresses from the platform's list. */
  public void addContacts(List<String> addresses) {
    membership.addContacts(addresses);
  }

  /** Advertises the address at which callers can reach this entry from now on. */
  public void advertiseCallerAddress(String clientAddress) {
    serving = true;
    membership.setClientAddress(clientAddress);
  }

  /** Advertises that this entry accepts no new callers from now on. */
  public void startLeaving() {
    leaving = true;
    membership.setFlags(flags());
  }

  /** Sets whether this entry sheds requests of callers; advertised at the next tick. */
  public void setOverloaded(boolean newOverloaded) {
    overloaded = newOverloaded;
  }

  /** Gossips the targets that were seen leaving, as far as they are scheduled for now. */
  public void sendLeavingMarks(List<LeavingMark> marks, long nowNanos) {
    leavingMarkGossip.tick(marks, nowNanos);
  }

  /** Sends the neighbours the claim that this process ends now. */
  public void leave() {
    membership.leave();
  }

  /** Returns the latest published view. */
  public NodeView view() {
    return view;
  }

  private ConfigOffer offer() {
    return config.offer();
  }

  private EntryFlags flags() {
    // Only a few entries set this flag, so that a platform outage does not cause updates of all
    // entries simultaneously.
    boolean mayStartAdvertising =
        config.view().isReader()
            && countOthersWithPlatformUnreachable() < MAX_ENTRIES_WITH_PLATFORM_UNREACHABLE;
    advertisesPlatformUnreachable =
        !config.isPlatformReachable() && (advertisesPlatformUnreachable || mayStartAdvertising);
    return new EntryFlags(
        leaving, serving && gate.isOpen(), overloaded, advertisesPlatformUnreachable);
  }

  private int countOthersWithPlatformUnreachable() {
    int count = 0;
    for (EntryMember other : membership.view().others()) {
      count += other.flags().platformUnreachable() ? 1 : 0;
    }
    return count;
  }

  private boolean isReady(MemberView members) {
    return gate.isOpen() && members.isUpToDate() && !leaving;
  }

  private String waitingFor(MemberView members) {
    if (leaving) {
      return "nothing: this entry is leaving";
    }
    return members.isUpToDate() ? gate.waitingFor() : "a peer's view after a pause of this process";
  }
}
