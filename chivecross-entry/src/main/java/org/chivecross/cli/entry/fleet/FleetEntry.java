package org.chivecross.cli.entry.fleet;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.DataPathPorts;
import org.chivecross.cli.entry.http.DataPathSettings;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.http.TargetProber;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.cli.log.EventLog;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.fleet.FleetDirectory;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.logic.fleet.FleetPort;
import org.chivecross.logic.fleet.FleetPreferences;
import org.chivecross.logic.request.DispatchRequestMachines;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.request.LoadReport;
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

  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int MAX_HEADERS = 200;
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Bytes of a request body kept for a resend; larger than nearly all uploads of callers. */
  private static final int RETAINED_BODY_BYTES = 4 << 20;

  /** Responses up to this size are relayed only when complete; nearly all are smaller. */
  private static final int MAX_HELD_RESPONSE_BYTES = 64 * 1024;

  /** Time since the last answer up to which an idle connection is assumed to be live. */
  private static final int RECENT_ACTIVITY_MILLIS = 400;

  private static final int DEFAULT_TIMEOUT_MILLIS = 60_000;
  private static final long CLOSE_IDLE_PERIOD_MILLIS = 500;

  /** Maximum number of addresses in a directory answer. */
  private static final int MAX_DIRECTORY_ADDRESSES = 64;

  /** Minimum time for which a leaving entry serves callers that still use its address. */
  private static final long MIN_DRAIN_MILLIS = 4_500;

  /** Margin between the end of the process and the time at which the platform kills it. */
  private static final long KILL_MARGIN_MILLIS = 300;

  private static final long DRAIN_POLL_PERIOD_MILLIS = 50;

  private final FleetEntrySettings settings;
  private final long incarnation;
  private final Object lock = new Object();
  private final EntryScheduler scheduler = new EntryScheduler("scheduler");
  private final EntryScheduler storeThread = new EntryScheduler("store");
  private final PlatformAdapter adapter;
  private final StoreReader store;
  private final Dispatcher dispatcher;
  private final FleetNode node;
  private final FleetSocket socket;
  private final DataPath dataPath;
  private final TargetProber prober;
  private final EntryMetrics metrics;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private Map<String, ServiceRule> services = Map.of();
  private List<String> serviceNames = List.of();
  private boolean isLeaving;
  private int storeFailures;

  /** Creates an entry; {@link #start} starts it. */
  public FleetEntry(FleetEntrySettings settings, long incarnation, PlatformAdapter adapter) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.adapter = adapter;
    store = adapter.store();
    SplittableRandom random = new SplittableRandom(incarnation);
    dispatcher = new Dispatcher(settings.dispatch(), this::probe, random.split());
    socket = new FleetSocket(settings.peers(), this::receiveMessage);
    FleetPreferences preferences =
        new FleetPreferences(
            settings.ip(),
            settings.dataCentre(),
            incarnation,
            settings.seeds(),
            settings.firstStart());
    node = new FleetNode(preferences, new NodePort(), random.split());
    PrometheusRegistry registry = new PrometheusRegistry();
    metrics = new EntryMetrics(registry, this::serviceName);
    DispatchAddresses addresses = new DispatchAddresses(lock, dispatcher);
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
    dataPath = new DataPath(ports, dataPathSettings());
    prober = dataPath.prober(adapter.dialect(), scheduler);
    FleetMetrics.addGauges(metrics, lock, dataPath, socket, node, dispatcher, store);
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
    dataPath.serveLocally(settings.directory(), adapter.directory(this::directoryAddresses));
    dataPath.serveLocally(settings.readiness(), adapter.readiness(this::isReady));
    dataPath.serveLocally(settings.metrics(), FleetMetrics.routes(metrics));
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

  /** Starts a graceful stop. Thread-safe. */
  public void requestStop() {
    scheduler.execute(this::startLeaving);
  }

  /** Waits until the graceful stop is over, then closes all connections and threads. */
  public void awaitStop() throws InterruptedException, IOException {
    stopped.await();
    Logger.info("stopped: {} requests in flight", dataPath.inFlightCount());
    scheduler.stop();
    storeThread.stop();
    dataPath.stop();
    socket.close();
  }

  private void startLeaving() {
    synchronized (lock) {
      if (isLeaving) {
        return;
      }
      isLeaving = true;
      node.setReady(false, System.nanoTime());
    }
    Logger.info("stop requested: leaving, {} requests in flight", dataPath.inFlightCount());
    dataPath.startLeaving();
    long now = System.nanoTime();
    long maxDrainMillis = Math.max(0, settings.graceMillis() - KILL_MARGIN_MILLIS);
    long minDrainMillis = Math.min(MIN_DRAIN_MILLIS, maxDrainMillis);
    stopWhenDrained(
        now + TimeUnit.MILLISECONDS.toNanos(minDrainMillis),
        now + TimeUnit.MILLISECONDS.toNanos(maxDrainMillis));
  }

  private void stopWhenDrained(long earliestNanos, long latestNanos) {
    long now = System.nanoTime();
    if (now >= latestNanos || (now >= earliestNanos && dataPath.isDrained())) {
      stopped.countDown();
      return;
    }
    long next = now + TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_PERIOD_MILLIS);
    scheduler.scheduleAt(next, () -> stopWhenDrained(earliestNanos, latestNanos));
  }

  private void tick() {
    long next;
    synchronized (lock) {
      long now = System.nanoTime();
      node.setRequestsPerSecond((int) Math.round(dispatcher.requestsPerSecond(now)));
      node.tick(now);
      dispatcher.setBudgetShare(node.budgetShare(now), node.budgetEntries());
      next = node.nextTickNanos(now);
    }
    scheduler.scheduleAt(next, this::tick);
  }

  private void receiveMessage(String ip, FleetMessage message) {
    synchronized (lock) {
      node.received(ip, message, System.nanoTime());
    }
  }

  private void readStore(OptionalLong after) {
    StoreReader.Answer answer = store.read(after);
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
    dispatcher.applyTargets(node.targets(), now);
    Logger.info(
        "targets: {} usable of {} at revision {}",
        dispatcher.usableTargets(),
        node.targets().size(),
        node.revision());
    node.setReady(isReady(), now);
  }

  private boolean isReady() {
    synchronized (lock) {
      return !isLeaving && dispatcher.hasRules() && dispatcher.hasTargets();
    }
  }

  private List<String> directoryAddresses(String dataCentre) {
    synchronized (lock) {
      long now = System.nanoTime();
      FleetMember self =
          new FleetMember(settings.ip(), incarnation, settings.dataCentre(), isReady(), 0, 0);
      int port = settings.callers().getPort();
      return FleetDirectory.selectEntries(
              self, node.others(now), dataCentre, MAX_DIRECTORY_ADDRESSES)
          .stream()
          .map(ip -> ip + ":" + port)
          .toList();
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

  private void probe(int row) {
    Optional<RegisteredTarget> target = dispatcher.target(row);
    ServiceRule service = target.map(t -> services.get(t.service())).orElse(null);
    if (service == null) {
      scheduler.execute(() -> probeEnded(row, false, Optional.empty()));
      return;
    }
    prober.probe(
        row,
        target.get().address(),
        service.healthPath(),
        Dispatcher.probeTimeoutMillis(),
        (healthy, report) -> probeEnded(row, healthy, report));
  }

  private void probeEnded(int row, boolean healthy, Optional<LoadReport> report) {
    synchronized (lock) {
      dispatcher.probeEnded(row, healthy, report, System.nanoTime());
    }
  }

  private static DataPathSettings dataPathSettings() {
    return new DataPathSettings(
        MAX_HEAD_BYTES,
        MAX_HEADERS,
        Long.MAX_VALUE,
        DEFAULT_TIMEOUT_MILLIS,
        DEFAULT_TIMEOUT_MILLIS,
        CONNECT_TIMEOUT_MILLIS,
        RECENT_ACTIVITY_MILLIS,
        RETAINED_BODY_BYTES,
        MAX_HELD_RESPONSE_BYTES,
        1);
  }

  /** Executes the side effects that the node requests. Called while {@code lock} is held. */
  private final class NodePort implements FleetPort {

    @Override
    public void send(String ip, FleetMessage message) {
      socket.send(ip, message);
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
