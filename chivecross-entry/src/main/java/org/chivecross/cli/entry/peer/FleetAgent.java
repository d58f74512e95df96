package org.chivecross.cli.entry.peer;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.failure.Result;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.wire.PeerTraffic;

/**
 * What one entry shares with all others. One thread calls {@link #tick}; all other methods are safe
 * for use by many threads.
 */
public interface FleetAgent {

  /** Starts to talk to the others and returns the port for them; 0 when there is none. */
  Result<Integer> start();

  /** Callers are served at this address from now on. */
  void advertiseCallerAddress(InetSocketAddress callerAddress);

  /** Handles waiting events and runs what is due. */
  void tick(long nowNanos);

  /** Tells the others which targets were seen leaving; called by the thread of the tick. */
  void sendLeavingMarks(List<LeavingMark> marks, long nowNanos);

  /** Returns what this entry knows. */
  NodeView view();

  /** Returns the UTC time since which the set in force has been so; empty when none is. */
  Optional<Instant> inForceSince();

  /** Returns the calls to owners of keys. */
  OwnerCalls ownerCalls();

  /** Returns the counters of the traffic between entries. */
  PeerTraffic traffic();

  /** This entry takes no new callers from now on. */
  void startLeaving();

  /** Tells the others that this process ends and closes all connections. */
  void stop();
}
