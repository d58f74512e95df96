package org.chivecross.cli.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.chivecross.cli.entry.admin.AdminServer;
import org.chivecross.cli.entry.admin.AdminViews;
import org.chivecross.cli.entry.directory.DirectoryHandler;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.key.OutcomeHandler;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.cli.entry.metrics.HeapAllocation;
import org.chivecross.cli.entry.peer.FleetAgent;
import org.chivecross.cli.entry.peer.FleetStatus;
import org.chivecross.cli.entry.peer.GossipAgent;
import org.chivecross.cli.entry.peer.StandaloneAgent;
import org.chivecross.cli.entry.probe.HealthProber;
import org.chivecross.logic.directory.EntryDirectory;
import org.chivecross.logic.drain.DrainSystem;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.wire.PeerTraffic;
import org.tinylog.Logger;

/**
 * Entry process: creates and connects the engine, the data path, the fleet agent and the
 * administration server. {@link #start} is called once; {@link #requestStop} starts a graceful stop
 * and, called again, forces it.
 *
 * <p>Invariant: callers are served as soon as the agent is ready, and the file set in force changes
 * only on the ticker's thread.
 */
final class EntryProcess {

  private static final long DATA_PATH_PERIOD_MILLIS = 2;
  private static final long ENGINE_PERIOD_MILLIS = 5;
  private static final long PROBE_PERIOD_MILLIS = 25;
  private static final long MAINTENANCE_PERIOD_MILLIS = 100;
  private static final long KEY_EXPIRY_PERIOD_MILLIS = 1_000;

  private final EntryPreferences preferences;
  private final BalancerEngine engine;
  private final DataPath dataPath;
  private final EntryTicker ticker = new EntryTicker();
  private final AdminServer admin;
  private final FleetAgent agent;
  private final DrainSystem drain;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final EntryKeys keys;
  private final HealthProber prober;
  private boolean isServing;

  /** Creates an entry from its components. */
  private EntryProcess(
      EntryPreferences preferences,
      BalancerEngine engine,
      FleetAgent agent,
      EngineAddresses addresses,
      EntryKeys keys) {
    this.preferences = preferences;
    this.keys = keys;
    this.engine = engine;
    this.agent = agent;
    prober = new HealthProber(engine);
    drain = new DrainSystem(preferences.peers().stopDeadline().toMillis());
    LocalRoutes routes =
        new LocalRoutes(
            Map.of(
                "/chivecross/entries",
                new DirectoryHandler(agent::view, first -> keys.prefix(agent.view(), first)),
                OutcomeHandler.PATH,
                new OutcomeHandler(keys.records(), agent.ownerCalls(), System::nanoTime)));
    PrometheusRegistry registry = new PrometheusRegistry();
    EntryMetrics metrics = new EntryMetrics(registry, engine::tenantName);
    RecordingObserver observer = new RecordingObserver(metrics, engine::address);
    dataPath =
        new DataPath(
            engine.policies(keys.records()),
            agent.ownerCalls(),
            addresses,
            routes,
            observer,
            preferences.dataPath());
    metrics.gauge("chivecross_in_flight", "Requests in flight", dataPath::inFlightCount);
    metrics.gauge("chivecross_key_records", "Records of keys", keys.records()::size);
    metrics.counter(
        "chivecross_allocated_bytes",
        "Bytes allocated by the live threads",
        HeapAllocation::allocatedBytes);
    metrics.gauge("chivecross_callers", "Open connections of callers", dataPath::callerCount);
    addProbeCounters(metrics);
    addFleetGauges(metrics, agent);
    admin =
        new AdminServer(
            preferences.admin(), adminViews(engine, agent, keys.records(), registry, observer));
  }

  /**
   * Creates an entry that serves the file set from the platform or, without one, from a directory.
   *
   * @return the entry, or the problems of the file set in the directory
   * @throws IOException if a file can't be read
   */
  static Result<EntryProcess> create(EntryPreferences preferences) throws IOException {
    long incarnation = new SecureRandom().nextLong();
    BalancerEngine engine =
        new BalancerEngine(
            EnginePreferences.of(preferences.listen().toString(), preferences.peers().dataCentre()),
            new SplittableRandom(incarnation));
    EngineAddresses addresses = new EngineAddresses(engine);
    EntryKeys keys = new EntryKeys(incarnation, System.nanoTime());
    if (preferences.peers().platform().isPresent()) {
      FleetAgent agent =
          new GossipAgent(
              preferences.peers(),
              incarnation,
              (version, set) -> apply(set, engine, addresses),
              vms ->
                  vms.forEach(vm -> engine.vmListed(vm.address(), vm.leaving(), System.nanoTime())),
              marks -> engine.mergeLeavingMarks(marks, System.nanoTime()),
              keys.service());
      return Result.success(new EntryProcess(preferences, engine, agent, addresses, keys));
    }
    return new FileSetParser()
        .parse(FileSetReader.read(preferences.files()))
        .flatMap(
            set -> {
              apply(set, engine, addresses);
              FleetAgent agent =
                  new StandaloneAgent(incarnation, preferences.peers().dataCentre(), set);
              return Result.success(new EntryProcess(preferences, engine, agent, addresses, keys));
            });
  }

  /**
   * Starts the administration API and the communication with the platform and other entries;
   * callers are served as soon as the agent is ready.
   *
   * @return the port for other entries, or the failure to bind it
   * @throws IOException if the administration API can't be started
   */
  Result<Integer> start() throws IOException {
    Result<Integer> port = agent.start();
    if (port instanceof Result.Failed<Integer>) {
      return port;
    }
    Logger.info("serving the administration API at {}", admin.start());
    ticker.every(DATA_PATH_PERIOD_MILLIS, List.of(dataPath::tick));
    ticker.every(
        ENGINE_PERIOD_MILLIS,
        List.of(agent::tick, this::serveWhenReady, this::observeMembers, engine::tick));
    ticker.every(PROBE_PERIOD_MILLIS, List.of(prober::tick));
    ticker.every(KEY_EXPIRY_PERIOD_MILLIS, List.of(keys.records()::expire));
    ticker.every(
        MAINTENANCE_PERIOD_MILLIS,
        List.of(dataPath::closeIdle, this::sendLeavingMarks, this::drain));
    return port;
  }

  private void addProbeCounters(EntryMetrics metrics) {
    metrics.counter(
        "chivecross_probes", "Probes sent", () -> engine.probeCost(System.nanoTime()).probes());
    metrics.counter(
        "chivecross_probe_bytes",
        "Bytes of probes and their answers",
        () -> engine.probeCost(System.nanoTime()).bytes());
    metrics.counter(
        "chivecross_probe_slot_millis",
        "Slot time spent on probes in ms",
        () -> Math.round(engine.probeCost(System.nanoTime()).spentMillis()));
    metrics.counter(
        "chivecross_probe_slot_millis_allowed",
        "Slot time that this entry's share of the probe budget allowed in ms",
        () -> Math.round(engine.probeCost(System.nanoTime()).allowedMillis()));
  }

  /** Starts a graceful stop; called again, it forces the stop. Thread-safe. */
  void requestStop() {
    ticker.once(this::requestStop);
  }

  /** Waits until the stop is over, then closes all connections and threads. */
  void awaitStop() throws InterruptedException {
    stopped.await();
    close();
  }

  private void requestStop(long nowNanos) {
    NodeView view = agent.view();
    drain.requestStop(isServing ? EntryDirectory.lifetimeMillis(view) : 0, nowNanos);
    Logger.info("stop requested: {}", drain.phase());
    agent.startLeaving();
    dataPath.startLeaving();
  }

  private void serveWhenReady(long nowNanos) {
    if (isServing || !agent.view().ready()) {
      return;
    }
    try {
      InetSocketAddress address = dataPath.start(preferences.listen());
      isServing = true;
      keys.setCallerAddress(address);
      agent.advertiseCallerAddress(address);
      Logger.info("serving callers at {}", address);
    } catch (IOException e) {
      Logger.error(e, "address for callers {} could not be bound; stopping", preferences.listen());
      stopped.countDown();
    }
  }

  private void observeMembers(long nowNanos) {
    keys.observe(agent.view(), nowNanos);
  }

  private void sendLeavingMarks(long nowNanos) {
    agent.sendLeavingMarks(engine.leavingMarks(nowNanos), nowNanos);
  }

  private void drain(long nowNanos) {
    DrainSystem.Phase phase = drain.tick(dataPath.isDrained(), nowNanos);
    if (phase == DrainSystem.Phase.FINISHED || phase == DrainSystem.Phase.CUT) {
      Logger.info("stop: {} with {} requests in flight", phase, dataPath.inFlightCount());
      stopped.countDown();
    }
  }

  private void close() {
    ticker.stop();
    agent.stop();
    admin.stop();
    try {
      dataPath.stop();
    } catch (IOException e) {
      Logger.error(e, "data path could not be closed; the process ends");
    }
  }

  private static void apply(FileSet set, BalancerEngine engine, EngineAddresses addresses) {
    engine.apply(set, System.nanoTime());
    addresses.apply(set);
  }

  private static void addFleetGauges(EntryMetrics metrics, FleetAgent agent) {
    PeerTraffic traffic = agent.traffic();
    metrics.gauge("chivecross_peer_sent_bytes", "Bytes sent to entries", traffic::bytesSent);
    metrics.gauge(
        "chivecross_peer_received_bytes", "Bytes received from entries", traffic::bytesReceived);
    metrics.gauge(
        "chivecross_peer_messages_refused", "Bad messages of entries", traffic::messagesRefused);
    metrics.gauge(
        "chivecross_peer_messages_dropped", "Messages not sent", traffic::messagesDropped);
    metrics.gauge(
        "chivecross_platform_calls",
        "Calls of the configuration service",
        () -> agent.view().config().platformCalls());
    metrics.gauge(
        "chivecross_platform_silent_watches",
        "Watches without an answer in time",
        () -> agent.view().config().silentWatches());
    metrics.gauge(
        "chivecross_platform_stale_reads",
        "Reads that gave an older revision",
        () -> agent.view().config().staleReads());
  }

  private static AdminViews adminViews(
      BalancerEngine engine,
      FleetAgent agent,
      KeyRegistry keys,
      PrometheusRegistry metrics,
      RecordingObserver observer) {
    Deployment noDeployment = new Deployment("", 1, 0, 0, List.of(), List.of());
    FileSet noFileSet = new FileSet(noDeployment, List.of(), List.of(), List.of());
    return new EntryAdminViews(
            engine,
            () -> agent.view().config().fileSet().orElse(noFileSet),
            keys,
            metrics,
            System::nanoTime)
        .views(
            () -> FleetStatus.readiness(agent.view()),
            () -> FleetStatus.config(agent),
            () -> FleetStatus.members(agent.view()),
            observer::decisions);
  }
}
