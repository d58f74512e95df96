package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.tinylog.Logger;

/** Opens, pools and reuses connections to targets. Safe for use by many threads. */
final class UpstreamClient {

  /** Receives a connection or the reason why there is none; called on any thread. */
  interface AcquireHandler {

    /** Receives a connection that is ready for one exchange. */
    void acquired(UpstreamConnection connection);

    /** Called if no connection could be acquired; no byte was sent. */
    void failed(ConnectionFault fault);
  }

  private static final String TARGET_PEER = "target ";

  private final SelectorRounds rounds;
  private final UpstreamAddresses addresses;
  private final DataPathSettings settings;
  private final TCPNIOConnectorHandler connector;
  private final LongAdder opened = new LongAdder();
  private final UpstreamRegistry upstreams = new UpstreamRegistry();
  private final Map<InetSocketAddress, UpstreamPool> pools = new ConcurrentHashMap<>();

  UpstreamClient(
      TCPNIOTransport transport,
      SelectorRounds rounds,
      UpstreamAddresses addresses,
      TaskScheduler scheduler,
      DataPathSettings settings) {
    this.rounds = rounds;
    this.addresses = addresses;
    this.settings = settings;
    FilterChain chain =
        FilterChainBuilder.stateless()
            .add(new ResetAwareFilter(upstreams, scheduler))
            .add(new StrictClientFilter(settings.maxHeadBytes(), upstreams))
            .add(new UpstreamFilter(upstreams))
            .build();
    connector = TCPNIOConnectorHandler.builder(transport).processor(chain).build();
  }

  /** Acquires a connection to a target; {@code handler} may be called before this returns. */
  void acquire(int target, ConnectionKind kind, long nowNanos, AcquireHandler handler) {
    Optional<InetSocketAddress> address = addresses.address(target);
    if (address.isEmpty() || upstreams.isStopped()) {
      handler.failed(ConnectionFault.LOCAL);
      return;
    }
    UpstreamPool pool = poolOf(address.get());
    Optional<UpstreamConnection> idle = pool.takeIdle(kind, nowNanos);
    if (idle.isPresent()) {
      handler.acquired(idle.get());
      return;
    }
    if (!pool.tryReserve(addresses.connectionLimit(target))) {
      handler.failed(ConnectionFault.LIMITED);
      return;
    }
    ConnectCompletion completion = new ConnectCompletion(pool, address.get(), handler);
    try {
      connector.connect((SocketAddress) address.get(), completion);
    } catch (RuntimeException e) {
      completion.failed(e);
    }
  }

  /**
   * Opens no connection any more. The ends of open connections are reported as {@link
   * ConnectionFault#LOCAL} from now on, since this entry is about to close them.
   */
  void stop() {
    upstreams.stop();
  }

  /** Runs a task after everything that has arrived on a connection until now is handled. */
  void afterArrived(UpstreamConnection connection, Runnable task) {
    rounds.afterNextRound(connection.connection().getSelectorRunner(), task);
  }

  boolean isStopped() {
    return upstreams.isStopped();
  }

  /** Returns the number of connections opened so far. */
  long openedCount() {
    return opened.sum();
  }

  /** Returns the name that a target uses for itself, if it has one. */
  Optional<String> identity(int target) {
    return addresses.identity(target);
  }

  /** Closes idle connections to a target without recent activity; returns their number. */
  int closeSuspects(int target, long nowNanos) {
    return addresses
        .address(target)
        .map(address -> poolOf(address).closeSuspects(nowNanos))
        .orElse(0);
  }

  /** Closes connections that exceeded the idle time-out. */
  void closeIdle(long nowNanos) {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(settings.idleTimeoutMillis());
    Collection<UpstreamPool> all = pools.values();
    all.forEach(pool -> pool.closeIdle(idleNanos, nowNanos));
  }

  /** Returns the addresses of targets, separated by spaces. */
  String addressesOf(List<Integer> targets) {
    return targets.stream()
        .flatMap(target -> addresses.address(target).stream())
        .map(address -> address.getHostString() + ":" + address.getPort())
        .collect(Collectors.joining(" "));
  }

  /** Returns a failure that names a target by its address instead of its row. */
  Failure withAddress(Failure failure) {
    if (!failure.peer().startsWith(TARGET_PEER)) {
      return failure;
    }
    int target = Integer.parseInt(failure.peer().substring(TARGET_PEER.length()));
    String peer =
        addresses
            .address(target)
            .map(address -> address.getHostString() + ":" + address.getPort())
            .orElse(failure.peer());
    return new Failure(failure.step(), peer, failure.detail());
  }

  private UpstreamPool poolOf(InetSocketAddress address) {
    return pools.computeIfAbsent(
        address,
        key -> new UpstreamPool(TimeUnit.MILLISECONDS.toNanos(settings.recentActivityMillis())));
  }

  /** Passes a new connection to the handler that waits for it. */
  private final class ConnectCompletion extends EmptyCompletionHandler<Connection> {

    private final UpstreamPool pool;
    private final InetSocketAddress address;
    private final AcquireHandler handler;

    ConnectCompletion(UpstreamPool pool, InetSocketAddress address, AcquireHandler handler) {
      this.pool = pool;
      this.address = address;
      this.handler = handler;
    }

    @Override
    public void completed(Connection connection) {
      UpstreamConnection upstream =
          new UpstreamConnection((NIOConnection) connection, pool, System.nanoTime());
      upstreams.add(upstream);
      opened.increment();
      handler.acquired(upstream);
    }

    @Override
    public void failed(Throwable cause) {
      pool.connectFailed();
      ConnectionFault fault =
          upstreams.isStopped() ? ConnectionFault.LOCAL : ConnectFailures.faultOf(cause);
      Logger.debug("connect to {} failed as {}: {}", address, fault, cause);
      handler.failed(fault);
    }

    @Override
    public void cancelled() {
      pool.connectFailed();
      handler.failed(ConnectionFault.LOCAL);
    }
  }
}
