package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivecross.logic.request.FakePolicies;
import org.junit.jupiter.api.Test;

/**
 * Explores every order of events of one request with two targets, a lost connection, a pause, a
 * cancellation and a re-sent request at the owner of the key or at another entry.
 */
class InterleavingTest {

  private Map<String, Integer> budget =
      Map.of("fault", 1, "pause", 1, "cancel", 1, "call", 1, "error", 1, "kill", 1);

  private final FakePolicies fakes = new FakePolicies();

  @Test
  void writeWithResendAtTheOwner() {
    explore("call r1 write at e0 key e0/k", "call r2 write at e0 key e0/k", "fence e0/k at e0");
  }

  @Test
  void writeWithResendAtAnotherEntry() {
    explore(
        "call r1 write at e0 key e0/k",
        "call r2 write at e1 key e0/k",
        "fence e0/k at e0",
        "kill e0");
  }

  @Test
  void uploadWithResendAtAnotherEntry() {
    explore("call r1 upload at e0 key e0/k", "call r2 upload at e1 key e0/k", "fence e0/k at e0");
  }

  @Test
  void readWithHedgeAndSilence() {
    fakes.hedgeDelayNanos = 10_000_000;
    fakes.firstByteTimeoutNanos = 20_000_000;
    budget = Map.of("fault", 1, "pause", 1, "cancel", 1, "error", 0);
    explore("call r1 read at e0");
  }

  private void explore(String first, String... more) {
    FleetExplorer explorer = new FleetExplorer(this::fleet, budget);
    List<String> extra = new ArrayList<>(List.of(more));
    extra.addAll(List.of("cancel r1", "pause 200"));
    List<String> found = explorer.explore(first, extra);
    System.out.println(
        "InterleavingTest: " + first + ": " + explorer.visitedStateCount() + " states");
    assertEquals(List.of(), found);
    assertTrue(explorer.visitedStateCount() > 100, "the exploration covers more than a few states");
  }

  private VirtualFleet fleet() {
    fakes.retriesLeft = 1;
    return new VirtualFleet(FleetSetup.of(2).withPolicies(index -> fakes.policies()));
  }
}
