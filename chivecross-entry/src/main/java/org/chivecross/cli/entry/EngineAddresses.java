package org.chivecross.cli.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chivecross.cli.entry.http.UpstreamAddresses;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;

/** Addresses and connection limits of the engine's targets. Thread-safe. */
final class EngineAddresses implements UpstreamAddresses {

  private final BalancerEngine engine;
  private final Map<String, InetSocketAddress> resolved = new ConcurrentHashMap<>();
  private volatile Map<String, Integer> limits = Map.of();

  EngineAddresses(BalancerEngine engine) {
    this.engine = engine;
  }

  /**
   * Computes the connection limits of a file set: those of the targets divided by the entry bound.
   */
  void apply(FileSet set) {
    Map<String, Integer> next = new ConcurrentHashMap<>();
    int entries = Math.max(1, set.deployment().entryBound());
    for (Service service : set.services()) {
      for (TargetGroup group : service.targets()) {
        int limit = Math.max(1, group.connections() / entries);
        group.addresses().forEach(address -> next.put(address, limit));
      }
    }
    limits = next;
  }

  @Override
  public Optional<InetSocketAddress> address(int target) {
    String text = engine.address(target);
    if (text.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(resolved.computeIfAbsent(text, EngineAddresses::parse));
  }

  @Override
  public int connectionLimit(int target) {
    return limits.getOrDefault(engine.address(target), 1);
  }

  private static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
