package org.chivecross.cli.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivecross.cli.entry.admin.AdminServer;
import org.chivecross.cli.entry.admin.AdminSettings;
import org.chivecross.cli.entry.admin.ConfigStatus;
import org.chivecross.cli.entry.admin.DecisionStatus;
import org.chivecross.cli.entry.admin.ReadinessStatus;
import org.chivecross.cli.entry.peer.FleetStatus;
import org.chivecross.cli.entry.peer.StandaloneAgent;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests each path of docs/openapi.yaml from a running server and checks the answers against it.
 */
class OpenApiTest {

  private final HttpClient client = HttpClient.newHttpClient();
  private final JsonNode document;
  private final AdminServer server;
  private InetSocketAddress address = new InetSocketAddress(0);

  OpenApiTest() throws IOException {
    document = new YAMLMapper().readTree(Path.of("..", "docs", "openapi.yaml").toFile());
    Result<FileSet> parsed =
        new FileSetParser().parse(FileSetReader.read(Path.of("..", "examples", "screenworks")));
    FileSet set = ((Result.Success<FileSet>) parsed).value();
    BalancerEngine engine =
        new BalancerEngine(EnginePreferences.of("entry", "dc1"), new SplittableRandom(1));
    engine.apply(set, 0);
    Result<AdminSettings> settings = AdminSettings.of(new InetSocketAddress("127.0.0.1", 0), "");
    ConfigStatus config =
        new ConfigStatus(
            "screenworks",
            "0.7",
            "2026-12-03T00:00:00Z",
            3,
            32,
            new ConfigStatus.RefusedConfig("0.8", "2026-12-03T00:00:01Z", List.of("wrong")));
    StandaloneAgent agent = new StandaloneAgent(1, "dc1", set);
    server =
        new AdminServer(
            ((Result.Success<AdminSettings>) settings).value(),
            new EntryAdminViews(
                    engine,
                    () -> set,
                    new EntryKeys(1, 0).records(),
                    new PrometheusRegistry(),
                    () -> 1)
                .views(
                    () -> ReadinessStatus.of(List.of()),
                    () -> config,
                    () -> FleetStatus.members(agent.view()),
                    OpenApiTest::decisions));
  }

  private static List<DecisionStatus> decisions() {
    DecisionStatus refused =
        new DecisionStatus(
            "2026-12-03T00:00:00Z",
            "GET",
            "h",
            "/",
            "answer",
            404,
            "not-run",
            "ROUTE",
            "local",
            "");
    return List.of(refused);
  }

  @BeforeEach
  void start() throws IOException {
    address = server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  private HttpResponse<String> send(String method, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path.replace("{key}", "a-1"));
    return client.send(
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void everyDocumentedPathAnswersAsDocumented() throws Exception {
    SchemaCheck check = new SchemaCheck(document);
    for (Map.Entry<String, JsonNode> path : document.get("paths").properties()) {
      HttpResponse<String> response = send("GET", path.getKey());
      assertEquals(200, response.statusCode(), path.getKey());
      JsonNode content = path.getValue().at("/get/responses/200/content");
      String type = content.fieldNames().next();
      String sent = response.headers().firstValue("Content-Type").orElse("");
      assertEquals(type, sent.split(";")[0], path.getKey());
      if (type.equals("application/json")) {
        JsonNode body = JsonMapper.builder().build().readTree(response.body());
        check.check(content.get(type).get("schema"), body, path.getKey());
      }
    }
    assertEquals(List.of(), check.problems());
  }

  @Test
  void everyServedPathIsDocumentedAndReadOnly() throws Exception {
    List<String> documented = new ArrayList<>();
    for (Map.Entry<String, JsonNode> path : document.get("paths").properties()) {
      documented.add(path.getKey());
      assertEquals("get", path.getValue().fieldNames().next());
      assertEquals(1, path.getValue().size(), path.getKey());
      for (String method : List.of("POST", "PUT", "DELETE", "PATCH")) {
        assertEquals(405, send(method, path.getKey()).statusCode(), method + " " + path.getKey());
      }
    }
    assertEquals(
        AdminServer.paths().stream().sorted().toList(), documented.stream().sorted().toList());
  }

  @Test
  void parametersHaveTheDocumentedBounds() throws Exception {
    for (Map.Entry<String, JsonNode> entry : document.at("/components/parameters").properties()) {
      JsonNode parameter = entry.getValue();
      String name = parameter.get("name").textValue();
      long min = parameter.at("/schema/minimum").longValue();
      long max = parameter.at("/schema/maximum").longValue();
      String path = "/admin/v1/targets?" + name + "=";
      assertEquals(200, send("GET", path + min).statusCode(), name);
      assertEquals(200, send("GET", path + max).statusCode(), name);
      assertEquals(400, send("GET", path + (min - 1)).statusCode(), name);
      assertEquals(400, send("GET", path + (max + 1)).statusCode(), name);
    }
  }
}
