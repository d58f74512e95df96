package org.chivecross.cli.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.chivecross.cli.entry.admin.AdminServer;
import org.chivecross.cli.entry.admin.AdminViews;
import org.chivecross.cli.entry.admin.ConfigStatus;
import org.chivecross.cli.entry.admin.ReadinessStatus;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.LocalHandler;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.cli.entry.metrics.HeapAllocation;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.tinylog.Logger;

/** All parts of one running entry. {@link #start} and {@link #stop} are called once each. */
final class EntryProcess {

  private static final long TIMER_PERIOD_MILLIS = 2;
  private static final long ENGINE_PERIOD_MILLIS = 5;
  private static final long IDLE_PERIOD_MILLIS = 100;

  private final EntryPreferences preferences;
  private final BalancerEngine engine;
  private final DataPath dataPath;
  private final EntryTicker ticker;
  private final AdminServer admin;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private EntryProcess(
      EntryPreferences preferences,
      BalancerEngine engine,
      DataPath dataPath,
      EntryTicker ticker,
      AdminServer admin) {
    this.admin = admin;
    this.preferences = preferences;
    this.engine = engine;
    this.dataPath = dataPath;
    this.ticker = ticker;
  }

  /**
   * Creates an entry that serves the file set of its directory.
   *
   * @return the entry, or what is wrong with the file set
   * @throws IOException if a file can't be read
   */
  static Result<EntryProcess> create(EntryPreferences preferences) throws IOException {
    Map<String, String> contents = FileSetReader.read(preferences.files());
    return new FileSetParser()
        .parse(contents)
        .flatMap(set -> Result.success(compose(preferences, set)));
  }

  /** Starts to serve callers. */
  void start() throws IOException {
    ticker.every(TIMER_PERIOD_MILLIS, List.of(dataPath::tick));
    ticker.every(ENGINE_PERIOD_MILLIS, List.of(engine::tick));
    ticker.every(IDLE_PERIOD_MILLIS, List.of(dataPath::closeIdle));
    InetSocketAddress address = dataPath.start(preferences.listen());
    Logger.info("serving callers at {}", address);
    Logger.info("serving the administration API at {}", admin.start());
  }

  /** Stops at once. */
  void stop() {
    ticker.stop();
    admin.stop();
    try {
      dataPath.stop();
    } catch (IOException e) {
      Logger.error(e, "stop failed");
    }
    stopped.countDown();
  }

  /** Waits until {@link #stop} has done its work. */
  void awaitStop() throws InterruptedException {
    stopped.await();
  }

  private static EntryProcess compose(EntryPreferences preferences, FileSet set) {
    String entryId = preferences.listen().toString();
    BalancerEngine engine =
        new BalancerEngine(
            EnginePreferences.of(entryId, ""), new SplittableRandom(System.nanoTime()));
    engine.apply(set, System.nanoTime());
    EngineAddresses addresses = new EngineAddresses(engine);
    addresses.apply(set);
    NoKeys keys = new NoKeys();
    LocalRoutes routes =
        new LocalRoutes(Map.of("/chivecross/entries", directory(preferences, set)));
    PrometheusRegistry registry = new PrometheusRegistry();
    EntryMetrics metrics = new EntryMetrics(registry, engine::tenantName);
    DataPath dataPath =
        new DataPath(
            engine.policies(keys),
            EntryProcess::refuseOwnerCall,
            addresses,
            routes,
            metrics,
            preferences.dataPath());
    metrics.gauge("chivecross_in_flight", "Requests in flight", dataPath::inFlightCount);
    metrics.counter(
        "chivecross_allocated_bytes",
        "Bytes allocated by the live threads",
        HeapAllocation::allocatedBytes);
    metrics.gauge("chivecross_callers", "Open connections of callers", dataPath::callerCount);
    AdminServer admin =
        new AdminServer(preferences.admin(), adminViews(engine, set, keys, registry));
    return new EntryProcess(preferences, engine, dataPath, new EntryTicker(), admin);
  }

  private static AdminViews adminViews(
      BalancerEngine engine, FileSet set, KeyRegistry keys, PrometheusRegistry metrics) {
    ConfigStatus config =
        new ConfigStatus(
            set.deployment().name(),
            ConfigVersion.NONE.toString(),
            Instant.now().toString(),
            set.services().size(),
            engine.targetStatuses(System.nanoTime()).size(),
            null);
    return new EntryAdminViews(engine, () -> set, keys, metrics, System::nanoTime)
        .views(() -> ReadinessStatus.of(List.of()), () -> config, List::of, List::of);
  }

  private static void refuseOwnerCall(
      long owner, KeyCall call, long remainingMillis, Consumer<Result<KeyAnswer>> done) {
    done.accept(
        Result.failed(Step.CONNECT, "entry " + Long.toHexString(owner), "no other entry is known"));
  }

  private static LocalHandler directory(EntryPreferences preferences, FileSet set) {
    InetSocketAddress listen = preferences.listen();
    String body =
        "{\"entries\":[\"%s:%d\"],\"keyPrefix\":\"\",\"lifetimeMillis\":%d}%n"
            .formatted(
                listen.getHostString(),
                listen.getPort(),
                set.deployment().directoryLifetimeMillis());
    return (request, responder) -> responder.accept(LocalResponse.json(body));
  }
}
