package org.chivecross.logic.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/** File sets and engines for tests. */
final class EngineFixture {

  static final long MILLI = 1_000_000;
  static final long SECOND = 1_000 * MILLI;
  static final Limits HIGH_LIMITS = new Limits(100_000, 1_000_000, 100_000);

  private EngineFixture() {}

  static BalancerEngine engine(FileSet set) {
    BalancerEngine engine =
        new BalancerEngine(
            EnginePreferences.of("entry-1", "east"),
            RandomGeneratorFactory.of("SplittableRandom").create(7));
    engine.apply(set, 0);
    return engine;
  }

  /** Returns one tenant with one service named "board" and the given number of targets. */
  static FileSet singleService(int targets, int slots, int entryBound, Limits limits) {
    return set(entryBound, List.of(service("board", "team", targets, slots, limits)));
  }

  static FileSet set(int entryBound, List<Service> services) {
    List<Rule> rules = new ArrayList<>();
    List<Tenant> tenants = new ArrayList<>();
    for (Service service : services) {
      rules.add(
          new Rule("*", "/" + service.name(), Set.of("GET"), service.name(), RequestClass.READ));
      if (tenants.stream().noneMatch(tenant -> tenant.name().equals(service.owner()))) {
        tenants.add(new Tenant(service.owner(), 1, HIGH_LIMITS));
      }
    }
    Deployment deployment =
        new Deployment("test", entryBound, 1000, 60_000, List.of("east", "west"), List.of());
    return new FileSet(deployment, tenants, services, rules);
  }

  static Service service(String name, String owner, int targets, int slots, Limits limits) {
    List<String> addresses = new ArrayList<>();
    for (int i = 1; i <= targets; i++) {
      addresses.add("10.0." + Math.floorMod(name.hashCode(), 250) + "." + i + ":80");
    }
    ClassPolicy read = new ClassPolicy(1000, 0.1, 0.02);
    ClassPolicy write = new ClassPolicy(2000, 0.1, 0);
    ClassPolicy upload = new ClassPolicy(10_000, 0, 0);
    return new Service(
        name,
        owner,
        0.02,
        6,
        8,
        limits,
        Map.of(RequestClass.READ, read, RequestClass.WRITE, write, RequestClass.UPLOAD, upload),
        List.of(new TargetGroup("east", slots, 300, addresses)));
  }
}
