package org.chivecross.cli.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.DataCentreLink;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/** Builds the file sets of simulated runs. Stateless. */
final class FileSets {

  static final List<String> DATA_CENTRES = List.of("dc-1", "dc-2", "dc-3");

  /** Limits high enough to refuse no request of a run. */
  private static final Limits NON_BINDING_LIMITS = new Limits(1_000_000, 10_000_000, 1_000_000);

  private FileSets() {}

  /** Returns the address of a target, given the numbers of its service and of the target. */
  static String address(int service, int target) {
    return "10." + service + "." + (target / 200) + "." + (1 + target % 200) + ":8080";
  }

  /** Returns the data centre of the target or entry with a number. */
  static String dataCentre(int number) {
    return DATA_CENTRES.get(number % DATA_CENTRES.size());
  }

  /**
   * Returns the file set of a scenario.
   *
   * @param firstTarget number of the first target of each service that the set contains
   */
  static FileSet of(Scenario scenario, double hedgeFraction, int firstTarget) {
    List<Service> services = new ArrayList<>();
    for (int s = 0; s < scenario.serviceTargets().size(); s++) {
      services.add(service(s, scenario, hedgeFraction, firstTarget));
    }
    List<DataCentreLink> links = new ArrayList<>();
    for (String from : DATA_CENTRES) {
      for (String to : DATA_CENTRES) {
        if (!from.equals(to)) {
          links.add(new DataCentreLink(from, to, scenario.linkMicros()));
        }
      }
    }
    Deployment deployment =
        new Deployment(scenario.name(), scenario.entries(), 5000, 60_000, DATA_CENTRES, links);
    return new FileSet(
        deployment, List.of(new Tenant("team", 1, NON_BINDING_LIMITS)), services, List.of());
  }

  private static Service service(
      int number, Scenario scenario, double hedgeFraction, int firstTarget) {
    List<TargetGroup> groups = new ArrayList<>();
    for (int t = firstTarget; t < scenario.serviceTargets().get(number); t++) {
      groups.add(
          new TargetGroup(dataCentre(t), scenario.slots(), 300, List.of(address(number, t))));
    }
    ClassPolicy read = new ClassPolicy(2000, 0.1, hedgeFraction);
    return new Service(
        "service-" + number,
        "team",
        0.02,
        6,
        16,
        NON_BINDING_LIMITS,
        Map.of(RequestClass.READ, read),
        groups);
  }
}
