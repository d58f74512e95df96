package org.chivecross.cli.entry.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.UpstreamAddresses;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.RequestForwarding;
import org.chivecross.model.registry.RegisteredTarget;

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
  private final Map<String, InetSocketAddress> parsedAddresses = new ConcurrentHashMap<>();

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
            .map(ip -> parsedAddresses.computeIfAbsent(ip + ":" + entryPort, this::parse));
      }
    }
    return targetAt(target)
        .map(found -> parsedAddresses.computeIfAbsent(found.address(), this::parse));
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

  private InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
