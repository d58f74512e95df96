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
 * One entry's share in the common view: membership, configuration and readiness, driven by events
 * and ticks alone.
 *
 * <p>Invariant: the published view is never older than the latest tick. One thread calls all
 * methods but {@link #view}, which any thread may call.
 */
public final class PeerNode {

  private static final int MAX_MARKED = 12;

  private final MembershipSystem membership;
  private final ConfigSystem config;
  private final StartupGate gate;
  private final LeavingMarkGossip leavingTargets;
  private boolean serving;
  private boolean leaving;
  private boolean overloaded;
  private boolean platformMarked;
  private volatile NodeView view;

  /**
   * Creates a node that knows nobody.
   *
   * @param inForceListener told of each set that is put in force
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
    leavingTargets = new LeavingMarkGossip(outbox, membership::gossipReceivers);
    view = new NodeView(membership.view(), config.view(), false, gate.waitingFor());
  }

  /** Runs everything that is due. */
  public void tick(long nowNanos) {
    membership.tick(nowNanos);
    config.tick(membership.view(), nowNanos);
    gate.tick(membership.view(), nowNanos);
    membership.setFlags(marks());
    MemberView members = membership.view();
    view = new NodeView(members, config.view(), isReady(members), waitingFor(members));
  }

  /** Takes in a message of another entry. */
  public void receive(Sender sender, PeerMessage message, long nowNanos) {
    membership.receive(sender, message, nowNanos);
    config.receive(sender, message, nowNanos);
  }

  /** The platform answered a read or a watch of the manifest, or it failed. */
  public void manifestRead(boolean watch, Result<PlatformValue> result, long nowNanos) {
    config.manifestRead(watch, result, nowNanos);
  }

  /** The platform answered a read of a file, or it failed. */
  public void fileRead(String digest, Result<byte[]> result, long nowNanos) {
    config.fileRead(digest, result, nowNanos);
  }

  /** Adds peer addresses that the platform lists. */
  public void addContacts(List<String> addresses) {
    membership.addContacts(addresses);
  }

  /** Callers reach this entry at this address from now on. */
  public void serveAt(String clientAddress) {
    serving = true;
    membership.setClientAddress(clientAddress);
  }

  /** This entry takes no new callers from now on. */
  public void startLeaving() {
    leaving = true;
    membership.setFlags(marks());
  }

  /** This entry sheds callers' requests, or no longer does. */
  public void setOverloaded(boolean newOverloaded) {
    overloaded = newOverloaded;
  }

  /** Tells the neighbours which targets were seen leaving, as far as that is due. */
  public void sendLeavingMarks(List<LeavingMark> marks, long nowNanos) {
    leavingTargets.tick(marks, nowNanos);
  }

  /** This process ends now. */
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

  private EntryFlags marks() {
    // Few are marked, so that an outage of the platform does not change all entries at once.
    boolean newlyMarked = config.view().reader() && markedOthers() < MAX_MARKED;
    platformMarked = !config.isPlatformReachable() && (platformMarked || newlyMarked);
    return new EntryFlags(leaving, serving && gate.isOpen(), overloaded, platformMarked);
  }

  private int markedOthers() {
    int marked = 0;
    for (EntryMember other : membership.view().others()) {
      marked += other.flags().platformUnreachable() ? 1 : 0;
    }
    return marked;
  }

  private boolean isReady(MemberView members) {
    return gate.isOpen() && members.fresh() && !leaving;
  }

  private String waitingFor(MemberView members) {
    if (leaving) {
      return "nothing: this entry is leaving";
    }
    return members.fresh() ? gate.waitingFor() : "a peer's view after a pause of this process";
  }
}
