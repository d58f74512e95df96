package org.chivecross.logic.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.WeightedService;
import org.junit.jupiter.api.Test;

class ServiceRoundRobinTest {

  @Test
  void shortSequencesFollowTheWeights() {
    RouteRule route =
        new RouteRule(
            "r",
            "h",
            "/",
            List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
            RequestClass.READ,
            1,
            1,
            1,
            0);
    ServiceRoundRobin roundRobin = new ServiceRoundRobin();
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      counts.merge(roundRobin.next(route, 0.3), 1, Integer::sum);
    }
    assertEquals(90, counts.getOrDefault("a", 0), 1);
    assertEquals(10, counts.getOrDefault("b", 0), 1);
  }
}
