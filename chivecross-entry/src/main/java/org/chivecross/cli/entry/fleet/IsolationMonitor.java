package org.chivecross.cli.entry.fleet;

import java.util.Collection;
import org.chivecross.logic.dispatch.ForwardingPort;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.logic.fleet.FleetNode;
import org.tinylog.Logger;

/**
 * Tells the other entries when this entry stops or starts again to reach targets, and keeps the
 * probes of an isolated entry going. Thread-safe: all state is guarded by the entry's lock.
 */
final class IsolationMonitor implements ForwardingPort {

  private final Object lock;
  private final EntryScheduler scheduler;
  private final FleetNode node;

  /** Creates a monitor; {@code lock} guards the node and the dispatcher. */
  IsolationMonitor(Object lock, EntryScheduler scheduler, FleetNode node) {
    this.lock = lock;
    this.scheduler = scheduler;
    this.node = node;
  }

  @Override
  public Collection<String> entries(long nowNanos) {
    return node.forwardingIps(nowNanos);
  }

  @Override
  public void isolationChanged(RequestForwarding forwarding, long nowNanos) {
    node.setIsolated(forwarding.isIsolated(), nowNanos);
    if (!forwarding.isIsolated()) {
      Logger.info("isolation ended: targets respond again");
      return;
    }
    Logger.warn(
        "isolated: no target responds; requests are forwarded to {}", node.forwardingIps(nowNanos));
    scheduleTick(forwarding);
  }

  private void scheduleTick(RequestForwarding forwarding) {
    scheduler.scheduleAt(forwarding.nextTickNanos(), () -> tick(forwarding));
  }

  private void tick(RequestForwarding forwarding) {
    synchronized (lock) {
      if (!forwarding.isIsolated()) {
        return;
      }
      try {
        forwarding.tick(System.nanoTime());
      } finally {
        scheduleTick(forwarding);
      }
    }
  }
}
