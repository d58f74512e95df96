package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What the administration API shows. Each part is called by the threads of that API, so it must be
 * safe for use by many threads and must not block.
 *
 * @param readiness whether callers may be sent to this entry
 * @param config the file set in force and the last refused one
 * @param targets targets with every reason for their weight, in a stable order
 * @param members entries that this entry knows, in a stable order
 * @param services services with limits and budgets, in a stable order
 * @param tenants tenants with limits, in a stable order
 * @param decisions last decisions with their reason, newest first
 * @param key what became of an idempotency key
 * @param metrics writer of the metrics in Prometheus text form
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

  /** Writes metrics. */
  @FunctionalInterface
  public interface MetricsSource {

    /** Writes all metrics in Prometheus text form. */
    void write(OutputStream out) throws IOException;
  }
}
