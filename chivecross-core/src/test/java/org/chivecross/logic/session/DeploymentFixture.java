package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.request.FakePolicies;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/** Creates the file sets of two deployments, with a service per request class, and engines. */
final class DeploymentFixture {

  private static final Limits LIMITS = new Limits(10_000, 100_000, 10_000);
  private static final int BASE_PORT = 9000;

  private DeploymentFixture() {}

  /** Returns the setup of {@code cooperative} or {@code prairie} with real engines. */
  static FleetSetup setup(String deployment, int entries) {
    FileSet set = fileSet(deployment);
    return FleetSetup.of(entries)
        .withPolicies(index -> engine(set, index).policies(new FakePolicies().policies().keys()));
  }

  /** Returns the file set of a deployment; its probe budget is 1 % and its entry bound 20. */
  static FileSet fileSet(String deployment) {
    return switch (deployment) {
      case "cooperative" -> set(deployment, 4, 300, 16, 8, 6);
      case "prairie" -> set(deployment, 6, 320, 17, 9, 6);
      default -> throw new IllegalArgumentException("unknown deployment " + deployment);
    };
  }

  /** Returns an engine that has applied a file set at time 0. */
  static BalancerEngine engine(FileSet set, int index) {
    BalancerEngine engine =
        new BalancerEngine(
            new EnginePreferences("e" + index, "dc0", 64, 8, 4096), new SplittableRandom(index));
    engine.apply(set, 0);
    engine.tick(0);
    return engine;
  }

  private static FileSet set(
      String name, int slots, int connections, int reads, int writes, int uploads) {
    List<Service> services = new ArrayList<>();
    List<Rule> rules = new ArrayList<>();
    Map<RequestClass, Integer> sizes =
        Map.of(RequestClass.READ, reads, RequestClass.WRITE, writes, RequestClass.UPLOAD, uploads);
    int port = BASE_PORT;
    for (RequestClass requestClass : RequestClass.values()) {
      String path = "/" + requestClass.name().toLowerCase(java.util.Locale.ROOT);
      List<String> addresses = new ArrayList<>();
      for (int i = 0; i < sizes.getOrDefault(requestClass, 0); i++) {
        port++;
        addresses.add("127.0.0.1:" + port);
      }
      ClassPolicy policy = new ClassPolicy(100, 1, 0);
      TargetGroup group = new TargetGroup("dc0", slots, connections, addresses);
      services.add(
          new Service(
              path.substring(1),
              "team",
              0.01,
              6,
              2,
              LIMITS,
              Map.of(requestClass, policy),
              List.of(group)));
      rules.add(new Rule("*", path, Set.of("POST"), path.substring(1), requestClass));
    }
    Deployment deployment = new Deployment(name, 20, 10_000, 60_000, List.of("dc0"), List.of());
    return new FileSet(deployment, List.of(new Tenant("team", 1, LIMITS)), services, rules);
  }
}
