package org.chivecross.logic.config;

import java.util.Optional;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Decides when a new process may serve callers: only with a configuration that its peers know of
 * nothing newer than, so that a stale platform can't bring an old one back.
 *
 * <p>Invariant: once open it stays open. Not thread-safe; the tick thread owns it.
 */
public final class StartupGate {

  private static final int PEERS_TO_HEAR = 3;

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
    Optional<String> reason = reason(members, nowNanos - startNanos);
    open = reason.isEmpty();
    waitingFor = reason.orElse("");
  }

  /** Returns whether the process may serve callers. */
  public boolean isOpen() {
    return open;
  }

  /** Returns what a closed gate waits for, for {@code /ready}. */
  public String waitingFor() {
    return waitingFor;
  }

  private Optional<String> reason(MemberView members, long ageNanos) {
    PeerOffers offers = config.peerOffers();
    int live = 0;
    int heardReady = 0;
    for (EntryMember other : members.others()) {
      if (other.state() != MemberState.ALIVE) {
        continue;
      }
      live++;
      heardReady += other.flags().ready() && offers.heard(other.incarnation()) ? 1 : 0;
    }
    if (live == 0 && ageNanos < preferences.noPeerWaitNanos()) {
      return Optional.of("an answer of any configured peer about the highest version");
    }
    if (live > 0 && offers.heardCount() < Math.min(PEERS_TO_HEAR, live)) {
      return Optional.of("answers of more peers about the highest version");
    }
    if (live > 0 && heardReady == 0 && ageNanos < preferences.noReadyPeerWaitNanos()) {
      return Optional.of("an answer of a ready peer about the highest version");
    }
    ConfigVersion inForce = config.view().inForce();
    ConfigVersion highest = offers.highestInForce();
    if (highest.isNewerThan(inForce) && config.wants(highest)) {
      return Optional.of("version " + highest + ", which a peer has in force");
    }
    if (inForce.equals(ConfigVersion.NONE)) {
      return Optional.of("a first configuration from the platform or a peer");
    }
    return Optional.empty();
  }
}
