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
 * Checks the budgets: each entry gets a usable share of every limit when the limit is divided by
 * {@code entryBound}, and no service has a higher limit than its tenant. Runs only on sets whose
 * fields are all valid. Stateless.
 */
final class BudgetCheck implements CrossFileCheck {

  /** Each entry must be able to probe each target at least once in this period, in seconds. */
  private static final double MAX_PROBE_PERIOD_SECONDS = 60;

  private static final double MILLIS_PER_SECOND = 1000;

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    ParsedFile<Deployment> deployment = set.deployment().orElseThrow();
    for (ParsedFile<Tenant> file : set.tenants()) {
      checkShares(file, file.value().limits(), deployment.value(), problems);
    }
    for (ParsedFile<Service> file : set.services()) {
      Service service = file.value();
      checkShares(file, service.limits(), deployment.value(), problems);
      set.tenants().stream()
          .map(ParsedFile::value)
          .filter(tenant -> tenant.name().equals(service.owner()))
          .findFirst()
          .ifPresent(tenant -> checkWithinTenantLimits(file, tenant, problems));
      checkConnections(file, deployment.value(), problems);
      checkProbeBudget(file, deployment.value(), problems);
      checkHedging(file, problems);
      checkKeyWindow(deployment, service, problems);
    }
  }

  private static void checkShares(
      ParsedFile<?> file, Limits limits, Deployment deployment, ProblemLog problems) {
    checkShare(file, "limits.concurrency", limits.concurrency(), deployment, problems);
    checkShare(file, "limits.ratePerSecond", limits.ratePerSecond(), deployment, problems);
  }

  private static void checkShare(
      ParsedFile<?> file, String field, int value, Deployment deployment, ProblemLog problems) {
    int min = deployment.entryBound();
    if (value < min) {
      String allowed = "at least the entryBound of " + min + ", so that each entry has 1";
      addProblem(file, field, value, allowed, problems);
    }
  }

  private static void checkWithinTenantLimits(
      ParsedFile<Service> file, Tenant tenant, ProblemLog problems) {
    Limits serviceLimits = file.value().limits();
    Limits tenantLimits = tenant.limits();
    checkWithinTenantLimit(
        file,
        "limits.concurrency",
        serviceLimits.concurrency(),
        tenantLimits.concurrency(),
        tenant,
        problems);
    checkWithinTenantLimit(
        file,
        "limits.ratePerSecond",
        serviceLimits.ratePerSecond(),
        tenantLimits.ratePerSecond(),
        tenant,
        problems);
    checkWithinTenantLimit(
        file, "limits.burst", serviceLimits.burst(), tenantLimits.burst(), tenant, problems);
  }

  private static void checkWithinTenantLimit(
      ParsedFile<?> file, String field, int value, int max, Tenant tenant, ProblemLog problems) {
    if (value > max) {
      addProblem(
          file, field, value, "at most " + max + ", the limit of " + tenant.name(), problems);
    }
  }

  private static void checkConnections(
      ParsedFile<Service> file, Deployment deployment, ProblemLog problems) {
    List<TargetGroup> groups = file.value().targets();
    for (int i = 0; i < groups.size(); i++) {
      String field = FieldPath.field(FieldPath.item("targets", i), "connections");
      checkShare(file, field, groups.get(i).connections(), deployment, problems);
    }
  }

  private static void checkProbeBudget(
      ParsedFile<Service> file, Deployment deployment, ProblemLog problems) {
    Service service = file.value();
    if (service.probeBudget() == 0) {
      return;
    }
    for (TargetGroup group : service.targets()) {
      double probesPerSecond =
          service.probeBudget() * group.slots() * MILLIS_PER_SECOND / service.probeMillis();
      double neededPerSecond = deployment.entryBound() / MAX_PROBE_PERIOD_SECONDS;
      if (probesPerSecond < neededPerSecond) {
        addProblem(
            file,
            "probeBudget",
            service.probeBudget(),
            String.format(
                Locale.ROOT,
                "0 for no probes, or at least %.6f: a probe costs %s ms and each of %d entries"
                    + " must be able to probe a target of %d slots once in 60 s",
                neededPerSecond * service.probeMillis() / MILLIS_PER_SECOND / group.slots(),
                service.probeMillis(),
                deployment.entryBound(),
                group.slots()),
            problems);
        return;
      }
    }
  }

  private static void checkHedging(ParsedFile<Service> file, ProblemLog problems) {
    for (RequestClass requestClass : List.of(RequestClass.WRITE, RequestClass.UPLOAD)) {
      ClassPolicy policy = file.value().classes().get(requestClass);
      if (policy != null && policy.hedgeFraction() > 0) {
        addProblem(
            file,
            "classes." + ClassNames.of(requestClass) + ".hedgeFraction",
            policy.hedgeFraction(),
            "0, since only a read may be sent twice",
            problems);
      }
    }
  }

  private static void checkKeyWindow(
      ParsedFile<Deployment> deployment, Service service, ProblemLog problems) {
    ClassPolicy write = service.classes().get(RequestClass.WRITE);
    if (write == null) {
      return;
    }
    int min = deployment.value().directoryLifetimeMillis() + write.deadlineMillis();
    if (deployment.value().keyWindowMillis() < min) {
      addProblem(
          deployment,
          "keyWindowMillis",
          deployment.value().keyWindowMillis(),
          "at least "
              + min
              + ", the directoryLifetimeMillis and the write deadline of "
              + service.name(),
          problems);
    }
  }

  private static void addProblem(
      ParsedFile<?> file, String field, Number found, String allowed, ProblemLog problems) {
    problems.add(file.file(), file.line(field), field, String.valueOf(found), allowed);
  }
}
