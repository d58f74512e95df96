package org.chivecross.cli.entry.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.UpstreamAddresses;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;

/**
 * Addresses, connection limits and ids of a dispatcher's targets, and of the entries to which it
 * forwards requests. Thread-safe: each access to the dispatcher holds the lock that guards it.
 */
final class DispatchAddresses implements UpstreamAddresses {

  /** Connections to another entry for forwarded requests. */
  private static final int MAX_ENTRY_CONNECTIONS = 64;

  private final Object lock;
  private final Dispatcher dispatcher;
  private final int entryPort;
  private final Map<TargetAddress, InetSocketAddress> resolved = new ConcurrentHashMap<>();

  /** Creates the addresses; {@code entryPort} is the port for forwarded requests of all entries. */
  DispatchAddresses(Object lock, Dispatcher dispatcher, int entryPort) {
    this.lock = lock;
    this.dispatcher = dispatcher;
    this.entryPort = entryPort;
  }

  @Override
  public Optional<InetSocketAddress> address(int target) {
    if (RequestForwarding.isEntry(target)) {
      synchronized (lock) {
        return dispatcher
            .forwarding()
            .ip(target)
            .flatMap(ip -> TargetAddress.parse(ip + ":" + entryPort))
            .map(this::resolve);
      }
    }
    return targetAt(target).map(found -> resolve(found.address()));
  }

  @Override
  public int connectionLimit(int target) {
    if (RequestForwarding.isEntry(target)) {
      return MAX_ENTRY_CONNECTIONS;
    }
    synchronized (lock) {
      return dispatcher.connectionLimit(target);
    }
  }

  @Override
  public Optional<String> identity(int target) {
    return targetAt(target).map(RegisteredTarget::id);
  }

  @Override
  public Map<String, String> addedHeaders(int target, int earlierAttempts) {
    if (!RequestForwarding.isEntry(target)) {
      return Map.of();
    }
    synchronized (lock) {
      return Map.of(
          DataPath.RULES_VERSION,
          Long.toString(dispatcher.rulesVersion()),
          DataPath.EARLIER_ATTEMPTS,
          Integer.toString(earlierAttempts));
    }
  }

  private Optional<RegisteredTarget> targetAt(int target) {
    synchronized (lock) {
      return dispatcher.target(target);
    }
  }

  private InetSocketAddress resolve(TargetAddress address) {
    return resolved.computeIfAbsent(address, DispatchAddresses::toSocketAddress);
  }

  private static InetSocketAddress toSocketAddress(TargetAddress address) {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(address.ipBytes()), address.port());
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are always an address", e);
    }
  }
}
