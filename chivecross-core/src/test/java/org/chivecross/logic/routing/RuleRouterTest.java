package org.chivecross.logic.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.junit.jupiter.api.Test;

class RuleRouterTest {

  private final RuleRouter router =
      router(
          rule("*", "/", "GET", "root"),
          rule("*", "/loads", "GET", "loads"),
          rule("*", "/loads/slots", "GET", "slots"),
          rule("*", "/loads/slots", "POST", "claims"),
          rule("mill.example", "/loads", "GET", "mill"));

  private static Rule rule(String host, String prefix, String method, String service) {
    return new Rule(host, prefix, Set.of(method), service, RequestClass.READ);
  }

  private static RuleRouter router(Rule... rules) {
    List<Service> services = new ArrayList<>();
    for (Rule rule : rules) {
      services.add(
          new Service(
              rule.service(),
              "team",
              0,
              6,
              1,
              new Limits(1, 1, 1),
              Map.of(RequestClass.READ, new ClassPolicy(1000, 0, 0)),
              List.of()));
    }
    Deployment deployment = new Deployment("test", 1, 1, 1, List.of(), List.of());
    FileSet set = new FileSet(deployment, List.of(), services, List.of(rules));
    List<String> names = services.stream().map(Service::name).toList();
    return new RuleRouter(set, names::indexOf);
  }

  private int service(String method, String host, String path) {
    return router.route(method, host, path).orElseThrow().service();
  }

  @Test
  void longestPrefixThatAllowsTheMethodWins() {
    assertEquals(2, service("GET", "a", "/loads/slots/7"));
    assertEquals(3, service("POST", "a", "/loads/slots"));
    assertEquals(1, service("GET", "a", "/loads"));
    assertTrue(router.route("DELETE", "a", "/loads").isEmpty());
  }

  @Test
  void prefixEndsAtSegmentBorder() {
    assertEquals(0, service("GET", "a", "/loadsheet"));
  }

  @Test
  void ruleForHostGoesBeforeRuleForAnyHost() {
    assertEquals(4, service("GET", "mill.example", "/loads/slots"));
    assertEquals(0, service("GET", "mill.example", "/other"));
  }
}
