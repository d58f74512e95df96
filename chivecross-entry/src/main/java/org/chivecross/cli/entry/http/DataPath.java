package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.chivecross.cli.log.EventLog;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.model.ruleset.CallerLimits;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * The HTTP proxy of this entry: reads requests from callers, sends them to the targets that the
 * request machines choose and relays the responses. All work is done on selector threads. Safe for
 * use by many threads.
 */
public final class DataPath {

  /** Header of a forwarded request: version of the rules of the entry that forwarded it. */
  public static final String RULES_VERSION = "chivecross-rules-version";

  /** Header of a forwarded request: attempts that the entry that forwarded it sent before. */
  public static final String EARLIER_ATTEMPTS = "chivecross-earlier-attempts";

  private static final int WRITE_QUEUE_BYTES = 256 * 1024;
  private static final int ACCEPT_BACKLOG = 4096;
  private static final long CLOSE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final DataPathPorts ports;
  private final DataPathSettings settings;
  private final ExchangeServices services;
  private final TCPNIOTransport transport;
  private final UpstreamClient client;
  private final InFlightExchanges inFlight = new InFlightExchanges();
  private final StoppedRequestLog stoppedRequests;
  private final CallerRegistry callers;
  private final CallerRegistry localCallers;
  private final CallerRegistry forwarders;
  private volatile boolean leaving;
  private volatile long maxBodyBytes;

  /**
   * Creates a data path that is not started.
   *
   * @param policies policies of routing, admission, dispatch and retries
   * @param owners passes requests to the entries that own their keys
   * @param addresses where the targets listen
   * @param localRoutes paths that this entry answers itself
   * @param observer is notified of the results of requests
   * @param settings limits and time-outs
   */
  public DataPath(
      RequestPolicies policies,
      OwnerCalls owners,
      UpstreamAddresses addresses,
      LocalRoutes localRoutes,
      ExchangeObserver observer,
      DataPathSettings settings) {
    this(DataPathPorts.of(policies, owners, addresses, localRoutes, observer), settings);
  }

  /**
   * Creates a data path that is not started.
   *
   * @param ports interfaces to the rest of the entry
   * @param settings limits and time-outs
   */
  public DataPath(DataPathPorts ports, DataPathSettings settings) {
    this.ports = ports;
    this.settings = settings;
    SelectorRounds rounds = new SelectorRounds(ports.observer()::selectorRoundEnded);
    transport = newTransport(settings.selectorThreads(), rounds);
    client = new UpstreamClient(transport, rounds, ports.addresses(), ports.scheduler(), settings);
    EventLog log = new EventLog(System::nanoTime);
    CutRequestLog cuts = new CutRequestLog(log, ports.dialect());
    AbandonedRequestLog abandoned = new AbandonedRequestLog(log, ports.dialect(), rounds);
    stoppedRequests = new StoppedRequestLog(log, client, ports.dialect());
    callers = new CallerRegistry(settings, cuts);
    localCallers = new CallerRegistry(DataPathSettings.defaults(), cuts);
    forwarders = new CallerRegistry(DataPathSettings.defaults(), cuts);
    services =
        new ExchangeServices(
            ports, client, inFlight, () -> leaving, () -> maxBodyBytes, settings, abandoned, false);
    maxBodyBytes = settings.maxBodyBytes();
    transport.setProcessor(chain(callers, services, ports.localRoutes()));
  }

  /**
   * Starts to serve callers.
   *
   * @return the address in use, with the port that the system chose if 0 was given
   * @throws IOException if the address can't be bound
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    TCPNIOServerConnection server = transport.bind(address, ACCEPT_BACKLOG);
    transport.start();
    return (InetSocketAddress) server.getLocalAddress();
  }

  /**
   * Serves paths that this entry answers itself at a separate address.
   *
   * @throws IOException if the address can't be bound
   */
  public void serveLocally(InetSocketAddress address, LocalRoutes routes) throws IOException {
    TCPNIOServerConnection server = transport.bind(address, ACCEPT_BACKLOG);
    server.setProcessor(chain(localCallers, services, routes));
  }

  /**
   * Serves requests that other entries forward, at a separate address.
   *
   * @return the address in use, with the port that the system chose if 0 was given
   * @throws IOException if the address can't be bound
   */
  public InetSocketAddress serveForwarded(InetSocketAddress address) throws IOException {
    TCPNIOServerConnection server = transport.bind(address, ACCEPT_BACKLOG);
    server.setProcessor(chain(forwarders, services.forForwarded(), ports.localRoutes()));
    return (InetSocketAddress) server.getLocalAddress();
  }

  /** Returns a prober that shares the connections of this data path to targets. */
  public TargetProber prober(RequestDialect dialect, TaskScheduler scheduler) {
    return new TargetProber(client, dialect, scheduler);
  }

  /** Replaces the limits on callers that the settings give. */
  public void applyLimits(CallerLimits limits) {
    maxBodyBytes = limits.maxBodyBytes();
    callers.applyTimeouts(limits.idleTimeoutMillis(), limits.headTimeoutMillis());
  }

  /**
   * Ends all requests and closes all connections, without waiting for callers.
   *
   * @throws IOException if a transport can't be stopped
   */
  public void stop() throws IOException {
    stop(System.nanoTime());
  }

  /**
   * Ends the requests in flight, each with a true answer if none has begun, then closes all
   * connections. Nothing that happens from then on is reported as an act of a target.
   *
   * @param closeUntilNanos monotonic time until which callers may take what was answered and close
   *     their side; blocks until then at most
   * @throws IOException if a transport can't be stopped
   */
  public void stop(long closeUntilNanos) throws IOException {
    client.stop();
    try {
      stopAccepting();
      // First, as what arrives on them while others are answered could only be cut.
      closeAllIdle();
      stopExchanges();
      while (System.nanoTime() < closeUntilNanos && callers.count() + forwarders.count() > 0) {
        closeAllIdle();
        LockSupport.parkNanos(CLOSE_POLL_NANOS);
        // A request that was being read may have begun since.
        stopExchanges();
      }
      callers.noteStopOver();
      forwarders.noteStopOver();
    } finally {
      transport.shutdownNow();
    }
  }

  private void closeAllIdle() {
    callers.closeAllIdle();
    forwarders.closeAllIdle();
  }

  private void stopExchanges() {
    callers.stopExchanges(stoppedRequests);
    forwarders.stopExchanges(stoppedRequests);
    inFlight.forEach(exchange -> exchange.stop(stoppedRequests));
  }

  /** Stops accepting connections; open ones continue to be served. */
  public void stopAccepting() {
    transport.unbindAll();
  }

  /** Starts to close each connection of a caller after its next response. */
  public void startLeaving() {
    leaving = true;
  }

  /**
   * Returns whether no request is in flight and no response is queued, so that stopping interrupts
   * none.
   */
  public boolean isDrained() {
    return inFlight.count() == 0 && callers.isDrained() && forwarders.isDrained();
  }

  /**
   * Closes all listeners and the sending side of idle connections if this entry is drained. A
   * request that arrives in the meantime is either served or, on a connection that is being closed,
   * not sent to a target.
   *
   * @return whether nothing is left to serve
   */
  public boolean closeIfDrained() {
    if (!isDrained()) {
      return false;
    }
    stopAccepting();
    closeAllIdle();
    return isDrained();
  }

  /** Returns the number of open connections of callers. */
  public int callerCount() {
    return callers.count();
  }

  /** Returns the number of requests in flight. */
  public int inFlightCount() {
    return inFlight.count();
  }

  /** Returns the number of connections to targets opened so far. */
  public long openedUpstreamCount() {
    return client.openedCount();
  }

  /** Runs the timers that are due. Called by one thread. */
  public void tick(long nowNanos) {
    inFlight.tick(nowNanos);
  }

  /** Closes connections that exceeded the idle time-out or the time-out of a request head. */
  public void closeIdle(long nowNanos) {
    client.closeIdle(nowNanos);
    callers.closeIdle(nowNanos);
    localCallers.closeIdle(nowNanos);
    forwarders.closeIdle(nowNanos);
  }

  private FilterChain chain(
      CallerRegistry registry, ExchangeServices exchangeServices, LocalRoutes routes) {
    return FilterChainBuilder.stateless()
        .add(new CallerTransportFilter(registry))
        .add(new StrictServerFilter(settings, registry, ports.observer(), ports.dialect()))
        .add(new CallerFilter(registry, exchangeServices, routes))
        .build();
  }

  /**
   * Creates the one transport for connections to callers and to targets. Sharing it makes each
   * selector thread take about as many of the library's pooled packets as it returns.
   */
  private static TCPNIOTransport newTransport(int selectorThreads, SelectorRounds rounds) {
    return TCPNIOTransportBuilder.newInstance()
        .setName("data-path")
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setTcpNoDelay(true)
        .setSelectorRunnersCount(selectorThreads)
        .setMaxAsyncWriteQueueSizeInBytes(WRITE_QUEUE_BYTES)
        .setSelectorHandler(rounds)
        .build();
  }
}
