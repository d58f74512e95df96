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
 * Agent of one entry in the fleet: membership, distribution of configuration, leaving marks and
 * calls to key owners. {@link #tick} and {@link #sendLeavingMarks} are called by one thread; all
 * other methods are thread-safe.
 */
public interface FleetAgent {

  /** Starts the communication with other entries; returns the port for them, or 0 without one. */
  Result<Integer> start();

  /** Advertises the address at which this entry now serves callers. */
  void advertiseCallerAddress(InetSocketAddress callerAddress);

  /** Handles queued events and runs scheduled work. */
  void tick(long nowNanos);

  /** Sends marks of leaving targets to other entries; called by the thread of {@link #tick}. */
  void sendLeavingMarks(List<LeavingMark> marks, long nowNanos);

  /** Returns the current view of members and configuration. */
  NodeView view();

  /** Returns the UTC time at which the current file set came into force; empty without one. */
  Optional<Instant> inForceSince();

  /** Returns the client for calls to the owners of keys. */
  OwnerCalls ownerCalls();

  /** Returns the counters of the traffic between entries. */
  PeerTraffic traffic();

  /** Advertises that this entry is leaving, so that it gets no new callers. */
  void startLeaving();

  /** Notifies other entries that this process ends, then closes all connections. */
  void stop();
}
