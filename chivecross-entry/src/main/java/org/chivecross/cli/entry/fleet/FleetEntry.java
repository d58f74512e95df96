package org.chivecross.cli.entry.fleet;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.DataPathPorts;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.http.TargetProber;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.cli.log.EventLog;
import org.chivecross.logic.dispatch.DispatchPorts;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.logic.fleet.FleetPort;
import org.chivecross.logic.fleet.FleetPreferences;
import org.chivecross.logic.request.DispatchRequestMachines;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.ProbeResult;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.wire.fleet.FleetSocket;
import org.tinylog.Logger;

/**
 * Entry that gets its configuration and targets from the platform: wires the gossip node, the
 * dispatcher, the data path and the metrics together. {@link #start} is called once.
 *
 * <p>Invariant: {@code lock} guards the node, the dispatcher and the state machines of all
 * requests, so that each decision is made on a consistent state.
 */
public final class FleetEntry {

  private static final long CLOSE_IDLE_PERIOD_MILLIS = 500;

  private static final long DRAIN_POLL_PERIOD_MILLIS = 50;

  /** Time for callers to take the last responses; part of the margin before the platform kills. */
  private static final long CLOSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Pause after a tick that failed. */
  private static final long FAILED_TICK_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final FleetEntrySettings settings;
  private final long incarnation;
  private final Object lock = new Object();
  private final StrainMonitor strain = new StrainMonitor(System.nanoTime(), this::strainChanged);
  private final EntryScheduler scheduler = new EntryScheduler("scheduler", strain);
  private final EntryScheduler storeThread =
      new EntryScheduler("store", EntryScheduler.WakeUpListener.NONE);
  private final PlatformAdapter adapter;
  private final StoreReader store;
  private final Dispatcher dispatcher;
  private final OverloadMonitor overload;
  private final FleetNode node;
  private final FleetSocket socket;
  private final DataPath dataPath;
  private final TargetProber prober;
  private final EntryMetrics metrics;
  private final PreferredTargetsLogger preferredLogger = new PreferredTargetsLogger();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private Map<String, ServiceRule> services = Map.of();
  private List<String> serviceNames = List.of();
  private Set<String> evacuated = Set.of();
  private boolean isLeaving;
  private int storeFailures;

  /** Creates an entry; {@link #start} starts it. */
  public FleetEntry(FleetEntrySettings settings, long incarnation, PlatformAdapter adapter) {
    this(settings, incarnation, adapter, adapter.store());
  }

  /** Creates an entry that reads the store by {@code store} instead of the adapter's reader. */
  public FleetEntry(
      FleetEntrySettings settings, long incarnation, PlatformAdapter adapter, StoreReader store) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.adapter = adapter;
    this.store = store;
    SplittableRandom random = new SplittableRandom(incarnation);
    socket = new FleetSocket(settings.peers(), this::receiveMessage);
    FleetPreferences preferences =
        new FleetPreferences(
            settings.ip(),
            settings.dataCentre(),
            incarnation,
            settings.seeds(),
            settings.firstStart());
    overload = new OverloadMonitor(incarnation);
    SplittableRandom dispatchRandom = random.split();
    node = new FleetNode(preferences, new NodePort(), random.split());
    dispatcher =
        new Dispatcher(
            settings.dispatch(),
            new DispatchPorts(
                this::probe,
                this::leavingAnnounced,
                new IsolationMonitor(lock, scheduler, node),
                new RequestLimitMonitor(node.evidence()),
                new SuspectRequestMonitor(node.evidence()),
                overload.order()),
            dispatchRandom);
    PrometheusRegistry registry = new PrometheusRegistry();
    metrics = new EntryMetrics(registry, this::serviceName);
    DispatchAddresses addresses =
        new DispatchAddresses(lock, dispatcher, settings.peers().getPort());
    DataPathPorts ports =
        new DataPathPorts(
            new DispatchRequestMachines(
                dispatcher, new DecisionLogger(new EventLog(System::nanoTime))),
            this::route,
            (target, requestClass) -> Long.MAX_VALUE,
            (owner, call, remaining, handler) -> {
              throw new IllegalStateException("this entry does not forward keys to their owners");
            },
            addresses,
            new LocalRoutes("\0", Map.of()),
            metrics,
            adapter.dialect(),
            scheduler,
            () -> lock);
    dataPath = new DataPath(ports, FleetDataPathSettings.create());
    prober = dataPath.prober(adapter.dialect(), scheduler);
    FleetMetrics.addGauges(metrics, lock, dataPath, socket, node, dispatcher, store);
    FleetMetrics.addStrainGauges(metrics, strain);
    FleetMetrics.addOrderMetrics(metrics, lock, overload.levels(), dispatcher);
  }

  /**
   * Starts to serve callers, the platform and other entries.
   *
   * @return the port for other entries, or the failure to bind it
   */
  public Result<Integer> start() throws IOException {
    Result<Integer> port = socket.start();
    if (port instanceof Result.Failed<Integer>) {
      return port;
    }
    dataPath.start(settings.callers());
    dataPath.serveForwarded(settings.peers());
    DirectoryAddresses addresses =
        new DirectoryAddresses(
            lock, settings, incarnation, node, dispatcher, this::isReady, strain::isStrained);
    dataPath.serveLocally(settings.directory(), adapter.directory(addresses::forCaller));
    dataPath.serveLocally(settings.readiness(), adapter.readiness(this::isReady));
    dataPath.serveLocally(settings.metrics(), FleetMetrics.routes(metrics, lock, dispatcher));
    scheduler.every(CLOSE_IDLE_PERIOD_MILLIS, () -> dataPath.closeIdle(System.nanoTime()));
    scheduler.execute(this::tick);
    Logger.info(
        "started: entry {} incarnation {} data centre {} callers {} seeds {}",
        settings.name(),
        Long.toHexString(incarnation),
        settings.dataCentre(),
        settings.callers(),
        settings.seeds());
    return port;
  }

  /**
   * Applies the settings that may change while the entry runs: the seeds. Logs whether another
   * changed setting needs a restart. Thread-safe.
   */
  public void reload(FleetEntrySettings next) {
    synchronized (lock) {
      node.setSeeds(next.seeds());
    }
    boolean restart =
        !next.callers().equals(settings.callers())
            || !next.dataCentre().equals(settings.dataCentre())
            || !next.dispatch().equals(settings.dispatch());
    Logger.info("settings reloaded: seeds {}; restart needed: {}", next.seeds(), restart);
  }

  /** Starts a graceful stop, also before the entry is started. Thread-safe. */
  public void requestStop() {
    long now = System.nanoTime();
    scheduler.execute(() -> startLeaving(now));
  }

  /** Waits until the graceful stop is over, then closes all connections and threads. */
  public void awaitStop() throws InterruptedException, IOException {
    stopped.await();
    Logger.info("stopped: {} requests in flight", dataPath.inFlightCount());
    dataPath.stop(System.nanoTime() + CLOSE_NANOS);
    scheduler.stop();
    storeThread.stop();
    socket.close();
  }

  /** Starts to leave; the platform counts from the request, which this thread may see late. */
  private void startLeaving(long requestedNanos) {
    long now = System.nanoTime();
    StopTimes times = StopTimes.of(settings.graceMillis(), requestedNanos);
    synchronized (lock) {
      if (isLeaving) {
        return;
      }
      isLeaving = true;
      node.setReady(false, now);
      dispatcher.stop().plan(times.acceptUntilNanos(), times.lastResponseNanos());
    }
    Logger.info("stop requested: leaving, {} requests in flight", dataPath.inFlightCount());
    dataPath.startLeaving();
    stopWhenDrained(times.earliestEndNanos(), times.latestEndNanos());
  }

  private void stopWhenDrained(long earliestNanos, long latestNanos) {
    long now = System.nanoTime();
    if (now >= latestNanos || (now >= earliestNanos && dataPath.closeIfDrained())) {
      stopped.countDown();
      return;
    }
    long next = now + TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_PERIOD_MILLIS);
    scheduler.scheduleAt(next, () -> stopWhenDrained(earliestNanos, latestNanos));
  }

  private void tick() {
    long next = System.nanoTime() + FAILED_TICK_PAUSE_NANOS;
    try {
      synchronized (lock) {
        long now = System.nanoTime();
        node.setRequestsPerSecond((int) Math.round(dispatcher.requestsPerSecond(now)));
        overload.exchange(node, now);
        node.tick(now);
        dispatcher.setBudgetShare(node.budgetShare(now), node.budgetEntries());
        dispatcher.preferred().applyEntries(settings.ip(), node.others(now));
        preferredLogger.log(dispatcher.preferred().sizes());
        next = node.nextTickNanos(now);
      }
    } finally {
      // Without another tick, the entry would serve on with a view that is never renewed.
      scheduler.scheduleAt(next, this::tick);
    }
  }

  private void strainChanged(boolean strained) {
    synchronized (lock) {
      node.setStrained(strained);
    }
  }

  private void receiveMessage(String ip, FleetMessage message) {
    synchronized (lock) {
      node.received(ip, message, System.nanoTime());
    }
  }

  private void readStore(OptionalLong after) {
    StoreReader.Answer answer = readSafely(after);
    synchronized (lock) {
      long now = System.nanoTime();
      if (answer instanceof StoreReader.Answer.Changed changed) {
        if (storeFailures > 0) {
          Logger.info(
              "store read again after {} failures; view was {} ms old",
              storeFailures,
              node.viewAgeMillis(now));
        }
        storeFailures = 0;
        node.readSucceeded(changed.change(), now);
      } else if (answer instanceof StoreReader.Answer.HistoryLost) {
        Logger.info("store has forgotten the changes after revision {}", after);
        node.readFailed(true, now);
      } else if (answer instanceof StoreReader.Answer.Failed failed) {
        storeFailures++;
        Logger.warn(
            "store not read: {}; view is {} ms old", failed.failure(), node.viewAgeMillis(now));
        node.readFailed(false, now);
      }
      scheduler.scheduleAt(node.nextTickNanos(now), this::tickNodeOnce);
    }
  }

  /** Reads the store; an unexpected error is a failed read, after which reading goes on. */
  private StoreReader.Answer readSafely(OptionalLong after) {
    try {
      return store.read(after);
    } catch (RuntimeException | VirtualMachineError e) {
      // A value of another program may need more stack or heap than there is.
      Logger.error(e, "reading the store failed unexpectedly");
      return new StoreReader.Answer.Failed(
          new Failure(Step.PLATFORM_READ, Failure.LOCAL, e.toString()));
    }
  }

  /** Runs an extra tick of the node, whose next tick may be due earlier after a read. */
  private void tickNodeOnce() {
    synchronized (lock) {
      node.tick(System.nanoTime());
    }
  }

  private void applyView(boolean rulesChanged) {
    long now = System.nanoTime();
    Optional<RuleSet> rules = node.rules();
    if (rulesChanged && rules.isPresent()) {
      dispatcher.applyRules(rules.get());
      dataPath.applyLimits(rules.get().limits());
      Map<String, ServiceRule> byName = new HashMap<>();
      rules.get().services().forEach(service -> byName.put(service.name(), service));
      services = byName;
      serviceNames = byName.keySet().stream().sorted().toList();
      Logger.info(
          "rules in force: version {} with {} routes, view {} ms old",
          rules.get().version(),
          rules.get().routes().size(),
          node.viewAgeMillis(now));
    }
    Collection<RegisteredTarget> registered = node.targets(now);
    dispatcher.applyTargets(registered, now);
    if (!node.evacuated().equals(evacuated)) {
      evacuated = node.evacuated();
      Logger.info(
          "evacuated data centres: {}; nothing is sent to their targets, view {} ms old",
          evacuated,
          node.viewAgeMillis(now));
    }
    dispatcher.applyEvacuations(evacuated);
    Logger.info(
        "targets: {} usable of {} at {}",
        dispatcher.usableTargets(),
        registered.size(),
        node.version());
    node.setReady(isReady(), now);
  }

  private boolean isReady() {
    synchronized (lock) {
      return !isLeaving && dispatcher.hasRules() && dispatcher.hasTargets();
    }
  }

  private Optional<Route> route(String method, String host, String path) {
    synchronized (lock) {
      Optional<RouteRule> rule = dispatcher.route(host, path);
      return rule.map(
          found ->
              new Route(
                  serviceNames.indexOf(found.services().get(0).service()),
                  found.requestClass(),
                  found.timeoutMillis()));
    }
  }

  private Optional<String> serviceName(int index) {
    synchronized (lock) {
      return index < 0 || index >= serviceNames.size()
          ? Optional.empty()
          : Optional.of(serviceNames.get(index));
    }
  }

  /** Sends the announcement of a target on to the other entries. */
  private void leavingAnnounced(RegisteredTarget target) {
    Logger.info("target {} at {} announced its shutdown", target.id(), target.address());
    node.evidence()
        .leavingAnnounced(
            new TargetIncarnation(target.id(), target.startedAtMillis()), System.nanoTime());
  }

  private void probe(int row) {
    Optional<RegisteredTarget> target = dispatcher.target(row);
    ServiceRule service = target.map(t -> services.get(t.service())).orElse(null);
    if (service == null) {
      scheduler.execute(() -> probeEnded(row, new ProbeResult.NotMade()));
      return;
    }
    prober.probe(
        row,
        target.get().address().toString(),
        service.healthPath(),
        Dispatcher.probeTimeoutMillis(),
        result -> probeEnded(row, result));
  }

  private void probeEnded(int row, ProbeResult result) {
    synchronized (lock) {
      dispatcher.probeEnded(row, result, System.nanoTime());
    }
  }

  /** Executes the side effects that the node requests. Called while {@code lock} is held. */
  private final class NodePort implements FleetPort {

    @Override
    public void send(Collection<String> ips, FleetMessage message) {
      socket.send(ips, message);
    }

    @Override
    public void read(OptionalLong after) {
      storeThread.execute(() -> readStore(after));
    }

    @Override
    public void viewChanged(boolean rulesChanged) {
      applyView(rulesChanged);
    }
  }
}
