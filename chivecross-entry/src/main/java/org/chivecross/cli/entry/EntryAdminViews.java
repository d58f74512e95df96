package org.chivecross.cli.entry;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chivecross.cli.entry.admin.AdminViews;
import org.chivecross.cli.entry.admin.ConfigStatus;
import org.chivecross.cli.entry.admin.KeyStatus;
import org.chivecross.cli.entry.admin.ReadinessStatus;
import org.chivecross.cli.entry.admin.ServiceSummary;
import org.chivecross.cli.entry.admin.TenantStatus;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.ServiceStatus;
import org.chivecross.logic.engine.TargetStatus;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.LimitShare;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.Tenant;

/**
 * Provides the views of the administration API from the components of an entry. Thread-safe if its
 * sources are.
 */
final class EntryAdminViews {

  private final BalancerEngine engine;
  private final Supplier<FileSet> fileSet;
  private final KeyRegistry keys;
  private final PrometheusRegistry metrics;
  private final LongSupplier clock;

  /**
   * Creates the views.
   *
   * @param engine engine that holds the state of targets and services
   * @param fileSet the file set in force
   * @param keys records of idempotency keys
   * @param metrics metrics of the entry
   * @param clock monotonic time in ns
   */
  EntryAdminViews(
      BalancerEngine engine,
      Supplier<FileSet> fileSet,
      KeyRegistry keys,
      PrometheusRegistry metrics,
      LongSupplier clock) {
    this.engine = engine;
    this.fileSet = fileSet;
    this.keys = keys;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Returns the views of the administration API. */
  AdminViews views(
      Supplier<ReadinessStatus> readiness,
      Supplier<ConfigStatus> config,
      Supplier<? extends List<? extends Record>> members,
      Supplier<? extends List<? extends Record>> decisions) {
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    return new AdminViews(
        readiness,
        config,
        this::targets,
        members,
        this::services,
        this::tenants,
        decisions,
        this::key,
        out -> writer.write(out, metrics.scrape()));
  }

  private List<TargetStatus> targets() {
    return engine.targetStatuses(clock.getAsLong()).stream()
        .sorted(Comparator.comparing(TargetStatus::service).thenComparing(TargetStatus::address))
        .toList();
  }

  private List<ServiceSummary> services() {
    FileSet set = fileSet.get();
    Map<String, ServiceStatus> statuses = statuses();
    return set.services().stream()
        .sorted(Comparator.comparing(Service::name))
        .map(service -> summary(service, set.deployment().entryBound(), statuses))
        .toList();
  }

  private static ServiceSummary summary(
      Service service, int entryBound, Map<String, ServiceStatus> statuses) {
    ServiceStatus status = statuses.get(service.name());
    Map<String, ClassPolicy> classes = new TreeMap<>();
    service
        .classes()
        .forEach(
            (requestClass, policy) ->
                classes.put(requestClass.name().toLowerCase(Locale.ROOT), policy));
    return new ServiceSummary(
        service.name(),
        service.owner(),
        status == null ? 0 : status.inFlight(),
        status == null ? 0 : status.targets(),
        status == null ? 0 : status.usableTargets(),
        service.limits(),
        LimitShare.of(service.limits(), entryBound).concurrency(),
        service.queuePerTarget(),
        service.probeBudget(),
        service.probeMillis(),
        classes);
  }

  private List<TenantStatus> tenants() {
    FileSet set = fileSet.get();
    Map<String, ServiceStatus> statuses = statuses();
    return set.tenants().stream()
        .sorted(Comparator.comparing(Tenant::name))
        .map(tenant -> status(tenant, set, statuses))
        .toList();
  }

  private static TenantStatus status(
      Tenant tenant, FileSet set, Map<String, ServiceStatus> statuses) {
    List<String> services =
        set.services().stream()
            .filter(service -> service.owner().equals(tenant.name()))
            .map(Service::name)
            .sorted()
            .toList();
    int inFlight = 0;
    for (String service : services) {
      ServiceStatus status = statuses.get(service);
      inFlight += status == null ? 0 : status.inFlight();
    }
    return new TenantStatus(tenant.name(), tenant.weight(), inFlight, tenant.limits(), services);
  }

  private Map<String, ServiceStatus> statuses() {
    Map<String, ServiceStatus> statuses = new HashMap<>();
    engine.serviceStatuses().forEach(status -> statuses.put(status.name(), status));
    return statuses;
  }

  private KeyStatus key(String key) {
    KeyClaim claim = keys.query(key, clock.getAsLong());
    if (claim instanceof KeyClaim.Finished finished) {
      String outcome = finished.status() == 0 ? finished.outcome().headerValue() : "";
      return new KeyStatus(key, "finished", finished.status(), outcome, "");
    }
    if (claim instanceof KeyClaim.Foreign foreign) {
      String owner = String.format(Locale.ROOT, "%016x", foreign.ownerIncarnation());
      return new KeyStatus(key, "foreign", 0, "", owner);
    }
    return new KeyStatus(key, state(claim), 0, "", "");
  }

  private static String state(KeyClaim claim) {
    if (claim instanceof KeyClaim.Run) {
      return "never-run";
    }
    if (claim instanceof KeyClaim.InFlight) {
      return "in-flight";
    }
    if (claim instanceof KeyClaim.Fenced) {
      return "fenced";
    }
    return claim instanceof KeyClaim.Malformed ? "malformed" : "outside-window";
  }
}
