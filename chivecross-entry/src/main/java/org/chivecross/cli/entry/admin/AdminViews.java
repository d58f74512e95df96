package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Views that the administration API serves. The threads of the API call them, so they must be
 * thread-safe and must not block.
 *
 * @param readiness whether callers may be sent to this entry, with reasons
 * @param config the file set in force and the most recently refused one
 * @param targets targets with every reason for their weight, in a stable order
 * @param members entries in the membership table of this entry, in a stable order
 * @param services services with limits and probe budgets, in a stable order
 * @param tenants tenants with limits, in a stable order
 * @param decisions latest decisions with their reason, newest first
 * @param key returns the state of an idempotency key
 * @param metrics writes the metrics in the Prometheus text format
 */
public record AdminViews(
    Supplier<ReadinessStatus> readiness,
    Supplier<ConfigStatus> config,
    Supplier<? extends List<? extends Record>> targets,
    Supplier<? extends List<? extends Record>> members,
    Supplier<? extends List<? extends Record>> services,
    Supplier<? extends List<? extends Record>> tenants,
    Supplier<? extends List<? extends Record>> decisions,
    Function<String, KeyStatus> key,
    MetricsSource metrics) {

  /** Source of the metrics page. */
  @FunctionalInterface
  public interface MetricsSource {

    /** Writes all metrics in the Prometheus text format. */
    void write(OutputStream out) throws IOException;
  }
}
