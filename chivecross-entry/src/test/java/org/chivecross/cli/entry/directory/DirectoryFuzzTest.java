package org.chivecross.cli.entry.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.peer.StandaloneAgent;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;

/** For random query parameters, a caller gets one complete answer that lists only live entries. */
class DirectoryFuzzTest {

  private static final int LIFETIME_MILLIS = 5_000;

  private final DirectoryHandler handler;

  DirectoryFuzzTest() {
    Deployment deployment =
        new Deployment("d", 1, LIFETIME_MILLIS, 600_000, List.of("dc1"), List.of());
    FileSet set = new FileSet(deployment, List.of(), List.of(), List.of());
    StandaloneAgent agent = new StandaloneAgent(1, "dc1", set);
    agent.advertiseCallerAddress(new InetSocketAddress("127.0.0.1", 8000));
    handler = new DirectoryHandler(agent::view, first -> "prefix-");
  }

  @Property(tries = 500, seed = "20261206")
  void anyParametersGetOneCompleteAnswer(
      @ForAll String caller, @ForAll String dataCentre, @ForAll String name) throws IOException {
    List<LocalResponse> answers = new ArrayList<>();
    handler.handle(
        new LocalRequest(
            "GET",
            "/chivecross/entries",
            Map.of("caller", caller, "data-centre", dataCentre, "x" + name, caller),
            "127.0.0.1"),
        answers::add);
    assertEquals(1, answers.size());
    JsonNode body = JsonMapper.builder().build().readTree(answers.get(0).body());
    assertEquals("127.0.0.1:8000", body.path("entries").path(0).asText());
    assertEquals(1, body.path("entries").size());
    assertTrue(body.path("lifetimeMillis").asLong() <= LIFETIME_MILLIS);
  }
}
