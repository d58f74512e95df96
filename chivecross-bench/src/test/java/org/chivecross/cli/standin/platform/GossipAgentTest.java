package org.chivecross.cli.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.chivecross.cli.entry.peer.FleetStatus;
import org.chivecross.cli.entry.peer.GossipAgent;
import org.chivecross.cli.entry.peer.PeerSettings;
import org.chivecross.cli.settings.HostPort;
import org.chivecross.logic.directory.EntryDirectory;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.model.failure.Result;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;
import org.chivecross.wire.PeerSecurity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests {@link GossipAgent} with up to three entries that exchange their state over real sockets
 * and read their configuration from the platform stand-in.
 */
class GossipAgentTest {

  private static final String DEPLOYMENT = "pulpwood";
  private static final Path FILES = Path.of("..", "examples", "pulpwood");
  private static final long TIMEOUT_NANOS = 60_000_000_000L;

  private final List<GossipAgent> agents = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();

  @TempDir private Path packed;
  private PlatformStandin platform;
  private int platformPort;

  @BeforeEach
  void startPlatform() throws IOException {
    Files.createDirectories(packed.resolve("files"));
    publish(Map.of());
    platform =
        new PlatformStandin(
            new PlatformSettings(packed, DEPLOYMENT, new HostPort("127.0.0.1", 0), ""));
    platformPort = platform.start();
  }

  @AfterEach
  void stopAll() {
    agents.forEach(GossipAgent::stop);
    platform.close();
  }

  private void publish(Map<String, String> extra) throws IOException {
    Map<String, byte[]> contents = new HashMap<>();
    try (Stream<Path> files = Files.walk(FILES)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        contents.put(FILES.relativize(file).toString(), Files.readAllBytes(file));
      }
    }
    extra.forEach((name, text) -> contents.put(name, text.getBytes(StandardCharsets.UTF_8)));
    ManifestCodec codec = new ManifestCodec();
    Manifest manifest = codec.describe(DEPLOYMENT, 0, contents);
    for (ManifestFile file : manifest.files()) {
      Files.write(packed.resolve("files").resolve(file.sha256()), contents.get(file.name()));
    }
    Path next = Files.write(packed.resolve("next"), codec.write(manifest));
    Files.move(next, packed.resolve("manifest"), StandardCopyOption.ATOMIC_MOVE);
  }

  private void control(String parameters) throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + platformPort + "/control?" + parameters);
    HttpRequest request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.noBody()).build();
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
  }

  private GossipAgent start(long incarnation) {
    PeerSettings settings =
        new PeerSettings(
            Optional.of(URI.create("http://127.0.0.1:" + platformPort)),
            DEPLOYMENT,
            "dc" + incarnation,
            new InetSocketAddress("127.0.0.1", 0),
            "",
            "",
            peers,
            3,
            PeerSecurity.plain(),
            Duration.ofSeconds(1));
    GossipAgent agent =
        new GossipAgent(
            settings,
            incarnation,
            (version, set) -> {},
            vms -> {},
            marks -> {},
            (call, left, answer) -> {});
    Result<Integer> port = agent.start();
    agent.advertiseCallerAddress(new InetSocketAddress("127.0.0.1", 1_000 + (int) incarnation));
    peers.add("127.0.0.1:" + ((Result.Success<Integer>) port).value());
    agents.add(agent);
    return agent;
  }

  private void tickUntil(BooleanSupplier reached) throws InterruptedException {
    long start = System.nanoTime();
    while (!reached.getAsBoolean()) {
      assertTrue(System.nanoTime() - start < TIMEOUT_NANOS, () -> "not reached: " + state());
      for (GossipAgent agent : agents) {
        agent.tick(System.nanoTime());
      }
      Thread.sleep(2);
    }
  }

  private String state() {
    List<Object> views = new ArrayList<>();
    agents.forEach(agent -> views.add(FleetStatus.members(agent.view())));
    agents.forEach(agent -> views.add(agent.view().waitingFor()));
    return views.toString();
  }

  private ConfigVersion inForce(GossipAgent agent) {
    return agent.view().config().inForce();
  }

  private boolean allInForceNewerThan(ConfigVersion version) {
    return agents.stream().allMatch(agent -> inForce(agent).isNewerThan(version));
  }

  private boolean allDirectoriesList(int count) {
    EntryDirectory directory = new EntryDirectory();
    return agents.stream()
        .allMatch(
            agent -> directory.answer("caller", "dc1", agent.view()).addresses().size() == count);
  }

  @Test
  void entriesAgreeAndAnEntryStartedWhileThePlatformIsDownTakesThePeersVersion() throws Exception {
    start(1);
    tickUntil(() -> agents.get(0).view().ready());
    start(2);
    tickUntil(() -> allDirectoriesList(2));
    ConfigVersion first = inForce(agents.get(0));

    publish(
        Map.of(
            "tenants/more.yaml",
            Files.readString(tenantFile()).replaceFirst("name: \\S+", "name: more")));
    tickUntil(() -> allInForceNewerThan(first));
    ConfigVersion second = inForce(agents.get(0));

    control("down=true");
    GossipAgent third = start(3);
    tickUntil(() -> third.view().ready() && allDirectoriesList(3));
    assertEquals(second, inForce(third));
  }

  @Test
  void rejectedFileSetIsReportedByEveryEntryAndThePreviousOneStaysInForce() throws Exception {
    start(1);
    tickUntil(() -> agents.get(0).view().ready());
    start(2);
    tickUntil(() -> allDirectoriesList(2));
    ConfigVersion first = inForce(agents.get(0));
    publish(Map.of("tenants/bad.yaml", "name: [\n"));
    tickUntil(
        () -> agents.stream().noneMatch(agent -> agent.view().config().rejection().isEmpty()));
    for (GossipAgent agent : agents) {
      assertEquals(first, inForce(agent));
      assertTrue(agent.view().config().rejection().toString().contains("tenants/bad.yaml"));
    }
  }

  private static Path tenantFile() throws IOException {
    try (Stream<Path> files = Files.list(FILES.resolve("tenants"))) {
      return files.findFirst().orElseThrow();
    }
  }
}
