package org.chivecross.logic.config;

import java.util.Optional;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Readiness gate of a new process: it opens when this entry has a configuration in force and no
 * peer has a newer usable one, so that a stale platform can't bring back an old configuration.
 *
 * <p>Invariant: an open gate stays open. Not thread-safe; the tick thread owns it.
 */
public final class StartupGate {

  private static final int MIN_PEER_OFFERS = 3;

  private final ConfigPreferences preferences;
  private final ConfigSystem config;
  private boolean started;
  private boolean open;
  private long startNanos;
  private String waitingFor = "start";

  /** Creates a closed gate. */
  public StartupGate(ConfigPreferences preferences, ConfigSystem config) {
    this.preferences = preferences;
    this.config = config;
  }

  /** Opens the gate when its conditions hold. */
  public void tick(MemberView members, long nowNanos) {
    if (!started) {
      started = true;
      startNanos = nowNanos;
    }
    if (open) {
      return;
    }
    Optional<String> reason = waitReason(members, nowNanos - startNanos);
    open = reason.isEmpty();
    waitingFor = reason.orElse("");
  }

  /** Returns whether the process may serve callers. */
  public boolean isOpen() {
    return open;
  }

  /** Returns the text for {@code /ready} about what a closed gate waits for. */
  public String waitingFor() {
    return waitingFor;
  }

  private Optional<String> waitReason(MemberView members, long sinceStartNanos) {
    PeerOffers offers = config.peerOffers();
    int livePeers = 0;
    int readyPeersWithOffer = 0;
    for (EntryMember other : members.others()) {
      if (other.state() != MemberState.ALIVE) {
        continue;
      }
      livePeers++;
      readyPeersWithOffer +=
          other.flags().ready() && offers.hasOfferFrom(other.incarnation()) ? 1 : 0;
    }
    if (livePeers == 0 && sinceStartNanos < preferences.noPeerWaitNanos()) {
      return Optional.of("an answer of any configured peer about the highest version");
    }
    if (livePeers > 0 && offers.offerCount() < Math.min(MIN_PEER_OFFERS, livePeers)) {
      return Optional.of("answers of more peers about the highest version");
    }
    if (livePeers > 0
        && readyPeersWithOffer == 0
        && sinceStartNanos < preferences.noReadyPeerWaitNanos()) {
      return Optional.of("an answer of a ready peer about the highest version");
    }
    ConfigVersion inForce = config.view().inForce();
    ConfigVersion highest = offers.highestInForce();
    if (highest.isNewerThan(inForce) && config.isUseful(highest)) {
      return Optional.of("version " + highest + ", which a peer has in force");
    }
    if (inForce.equals(ConfigVersion.NONE)) {
      return Optional.of("a first configuration from the platform or a peer");
    }
    return Optional.empty();
  }
}
