package org.chivecross.logic.fileset;

import java.util.List;
import java.util.Locale;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/**
 * Budgets add up: each entry gets a usable share of every limit when it is divided by {@code
 * entryBound}, and limits within limits are no larger. Runs only on sets whose fields are all
 * valid. Stateless.
 */
final class BudgetCheck implements CrossFileCheck {

  /** Longest time in which each entry must be able to probe each target once, in seconds. */
  private static final double PROBE_PERIOD_SECONDS = 60;

  private static final double MILLIS_PER_SECOND = 1000;

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    ParsedFile<Deployment> deployment = set.deployment().orElseThrow();
    for (ParsedFile<Tenant> file : set.tenants()) {
      shares(file, file.value().limits(), deployment.value(), problems);
    }
    for (ParsedFile<Service> file : set.services()) {
      Service service = file.value();
      shares(file, service.limits(), deployment.value(), problems);
      set.tenants().stream()
          .map(ParsedFile::value)
          .filter(tenant -> tenant.name().equals(service.owner()))
          .findFirst()
          .ifPresent(tenant -> withinTenant(file, tenant, problems));
      connections(file, deployment.value(), problems);
      probes(file, deployment.value(), problems);
      hedges(file, problems);
      keyWindow(deployment, service, problems);
    }
  }

  private static void shares(
      ParsedFile<?> file, Limits limits, Deployment deployment, ProblemLog problems) {
    share(file, "limits.concurrency", limits.concurrency(), deployment, problems);
    share(file, "limits.ratePerSecond", limits.ratePerSecond(), deployment, problems);
  }

  private static void share(
      ParsedFile<?> file, String field, int value, Deployment deployment, ProblemLog problems) {
    int least = deployment.entryBound();
    if (value < least) {
      String allowed = "at least the entryBound of " + least + ", so that each entry has 1";
      add(file, field, value, allowed, problems);
    }
  }

  private static void withinTenant(ParsedFile<Service> file, Tenant tenant, ProblemLog problems) {
    Limits own = file.value().limits();
    Limits most = tenant.limits();
    within(file, "limits.concurrency", own.concurrency(), most.concurrency(), tenant, problems);
    within(
        file, "limits.ratePerSecond", own.ratePerSecond(), most.ratePerSecond(), tenant, problems);
    within(file, "limits.burst", own.burst(), most.burst(), tenant, problems);
  }

  private static void within(
      ParsedFile<?> file, String field, int value, int most, Tenant tenant, ProblemLog problems) {
    if (value > most) {
      add(file, field, value, "at most " + most + ", the limit of " + tenant.name(), problems);
    }
  }

  private static void connections(
      ParsedFile<Service> file, Deployment deployment, ProblemLog problems) {
    List<TargetGroup> groups = file.value().targets();
    for (int i = 0; i < groups.size(); i++) {
      String field = FieldPath.field(FieldPath.item("targets", i), "connections");
      share(file, field, groups.get(i).connections(), deployment, problems);
    }
  }

  private static void probes(ParsedFile<Service> file, Deployment deployment, ProblemLog problems) {
    Service service = file.value();
    if (service.probeBudget() == 0) {
      return;
    }
    for (TargetGroup group : service.targets()) {
      double probesPerSecond =
          service.probeBudget() * group.slots() * MILLIS_PER_SECOND / service.probeMillis();
      double needed = deployment.entryBound() / PROBE_PERIOD_SECONDS;
      if (probesPerSecond < needed) {
        add(
            file,
            "probeBudget",
            service.probeBudget(),
            String.format(
                Locale.ROOT,
                "0 for no probes, or at least %.6f: a probe costs %s ms and each of %d entries"
                    + " must be able to probe a target of %d slots once in 60 s",
                needed * service.probeMillis() / MILLIS_PER_SECOND / group.slots(),
                service.probeMillis(),
                deployment.entryBound(),
                group.slots()),
            problems);
        return;
      }
    }
  }

  private static void hedges(ParsedFile<Service> file, ProblemLog problems) {
    for (RequestClass requestClass : List.of(RequestClass.WRITE, RequestClass.UPLOAD)) {
      ClassPolicy policy = file.value().classes().get(requestClass);
      if (policy != null && policy.hedgeFraction() > 0) {
        add(
            file,
            "classes." + ClassNames.of(requestClass) + ".hedgeFraction",
            policy.hedgeFraction(),
            "0, since only a read may be sent twice",
            problems);
      }
    }
  }

  private static void keyWindow(
      ParsedFile<Deployment> deployment, Service service, ProblemLog problems) {
    ClassPolicy write = service.classes().get(RequestClass.WRITE);
    if (write == null) {
      return;
    }
    int least = deployment.value().directoryLifetimeMillis() + write.deadlineMillis();
    if (deployment.value().keyWindowMillis() < least) {
      add(
          deployment,
          "keyWindowMillis",
          deployment.value().keyWindowMillis(),
          "at least "
              + least
              + ", the directoryLifetimeMillis and the write deadline of "
              + service.name(),
          problems);
    }
  }

  private static void add(
      ParsedFile<?> file, String field, Number found, String allowed, ProblemLog problems) {
    problems.add(file.file(), file.line(field), field, String.valueOf(found), allowed);
  }
}
