package org.chivecross.cli.entry.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecross.cli.entry.http.UpstreamAddresses;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.model.registry.RegisteredTarget;

/**
 * Addresses, connection limits and ids of a dispatcher's targets. Thread-safe: each access to the
 * dispatcher holds the lock that guards it.
 */
final class DispatchAddresses implements UpstreamAddresses {

  private final Object lock;
  private final Dispatcher dispatcher;
  private final Map<String, InetSocketAddress> parsedAddresses = new ConcurrentHashMap<>();

  DispatchAddresses(Object lock, Dispatcher dispatcher) {
    this.lock = lock;
    this.dispatcher = dispatcher;
  }

  @Override
  public Optional<InetSocketAddress> address(int target) {
    return targetAt(target)
        .map(found -> parsedAddresses.computeIfAbsent(found.address(), this::parse));
  }

  @Override
  public int connectionLimit(int target) {
    synchronized (lock) {
      return dispatcher.connectionLimit(target);
    }
  }

  @Override
  public Optional<String> identity(int target) {
    return targetAt(target).map(RegisteredTarget::id);
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
