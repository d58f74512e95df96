package org.chivecross.cli.entry.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivecross.cli.entry.http.DataPath;
import org.chivecross.cli.entry.http.DataPathSettings;
import org.chivecross.cli.entry.http.ExchangeObserver;
import org.chivecross.cli.entry.http.ExchangeSummary;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.http.UpstreamAddresses;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.key.KeyPrefixIssuer;
import org.chivecross.logic.key.KeyRecordTable;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two entries with real sockets, one of which owns the idempotency key of all requests. */
class KeyForwardingTest {

  private static final int COPIES = 20;
  private static final Limits HIGH_LIMITS = new Limits(10_000, 1_000_000, 10_000);

  private final AtomicInteger runs = new AtomicInteger();
  private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<DataPath> dataPaths = new ArrayList<>();
  private final KeyPrefixIssuer issuer = new KeyPrefixIssuer(1, System.nanoTime());
  private HttpServer upstream;
  private InetSocketAddress owner;
  private InetSocketAddress other;

  @BeforeEach
  void start() throws IOException {
    upstream = HttpServer.create(loopback(), 0);
    upstream.setExecutor(Executors.newCachedThreadPool());
    upstream.createContext("/write", this::run);
    upstream.start();
    KeyRecordTable ownerKeys = new KeyRecordTable(issuer, 1024);
    LoopbackRunner runner = new LoopbackRunner(() -> Optional.of(owner));
    OwnedKeyService service = OwnedKeyService.create(ownerKeys, runner, System::nanoTime);
    OwnerCalls calls =
        (incarnation, call, millis, done) ->
            service.handle(call, millis, answer -> done.accept(Result.success(answer)));
    owner = startEntry(ownerKeys, calls);
    KeyRecordTable otherKeys = new KeyRecordTable(new KeyPrefixIssuer(2, System.nanoTime()), 1024);
    other = startEntry(otherKeys, calls);
  }

  @AfterEach
  void stop() throws IOException {
    ticker.shutdownNow();
    for (DataPath dataPath : dataPaths) {
      dataPath.stop();
    }
    upstream.stop(0);
  }

  @Test
  void copiesSentToBothEntriesRunOnce() {
    String key = issuer.prefix(60_000, System.nanoTime()) + "deposit";
    List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
    for (int i = 0; i < COPIES; i++) {
      sent.add(send(i % 2 == 0 ? other : owner, key));
    }
    int relayed = 0;
    for (CompletableFuture<HttpResponse<String>> copy : sent) {
      HttpResponse<String> response = copy.join();
      if (response.statusCode() == 200) {
        relayed++;
        assertEquals("paid", response.body());
        continue;
      }
      assertEquals(409, response.statusCode(), response.body());
      String outcome = response.headers().firstValue("Chivecross-Outcome").orElse("");
      assertTrue(Set.of("unknown", "answered").contains(outcome), outcome);
    }
    assertEquals(1, relayed);
    assertEquals(1, runs.get());
  }

  private CompletableFuture<HttpResponse<String>> send(InetSocketAddress entry, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.getPort() + "/write"))
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("amount=5"))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private void run(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    runs.incrementAndGet();
    exchange.sendResponseHeaders(200, 4);
    exchange.getResponseBody().write("paid".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    exchange.close();
  }

  private InetSocketAddress startEntry(KeyRecordTable keys, OwnerCalls calls) throws IOException {
    BalancerEngine engine =
        new BalancerEngine(
            new EnginePreferences("entry", "dc1", 64, 8, 4096), new SplittableRandom(1));
    engine.apply(fileSet(), System.nanoTime());
    engine.tick(System.nanoTime());
    DataPath dataPath =
        new DataPath(
            engine.policies(keys),
            calls,
            new OneUpstream(),
            new LocalRoutes(Map.of()),
            new NoObserver(),
            DataPathSettings.defaults());
    dataPaths.add(dataPath);
    ticker.scheduleWithFixedDelay(
        () -> dataPath.tick(System.nanoTime()), 2, 2, TimeUnit.MILLISECONDS);
    return dataPath.start(loopback());
  }

  private FileSet fileSet() {
    Service service =
        new Service(
            "bookings",
            "office",
            0.01,
            6,
            4,
            HIGH_LIMITS,
            Map.of(RequestClass.WRITE, new ClassPolicy(5_000, 1.0, 0.0)),
            List.of(
                new TargetGroup(
                    "dc1", 100, 100, List.of("127.0.0.1:" + upstream.getAddress().getPort()))));
    return new FileSet(
        new Deployment("test", 1, 5_000, 60_000, List.of("dc1"), List.of()),
        List.of(new Tenant("office", 1, HIGH_LIMITS)),
        List.of(service),
        List.of(new Rule("*", "/write", Set.of("POST"), "bookings", RequestClass.WRITE)));
  }

  private static InetSocketAddress loopback() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** Resolves every target to the single upstream of the test. */
  private final class OneUpstream implements UpstreamAddresses {
    @Override
    public Optional<InetSocketAddress> address(int target) {
      return Optional.of(upstream.getAddress());
    }

    @Override
    public int connectionLimit(int target) {
      return 100;
    }
  }

  /** Observer that ignores all events. */
  private static final class NoObserver implements ExchangeObserver {
    @Override
    public void ended(ExchangeSummary summary) {}

    @Override
    public void silentConnectionFound(int closed) {}

    @Override
    public void headRefused(int status) {}
  }
}
