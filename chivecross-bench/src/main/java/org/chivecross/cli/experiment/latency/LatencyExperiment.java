package org.chivecross.cli.experiment.latency;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.chivecross.logic.settings.ProgramLauncher;

/**
 * Program that measures the latency that an entry adds to a call, and its throughput in comparison
 * with direct calls to the targets.
 */
public final class LatencyExperiment {

  private static final double[] PERCENTILES = {50, 90, 99, 99.9};
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int SATURATION_SLICES = 3;
  private static final long SLICE_MILLIS = 1_500;

  private LatencyExperiment() {}

  /** Runs the measurement and ends the process with its exit code. */
  public static void main(String[] arguments) {
    ProgramLauncher launcher =
        new ProgramLauncher("added-latency", System.getenv(), System.out, System.err);
    System.exit(launcher.launch(new LatencyOptions(), List.of(arguments), LatencyExperiment::run));
  }

  private static int run(LatencyOptions options) {
    try (LatencyRun run = new LatencyRun(options)) {
      measure(options, run, System.out);
      return ProgramLauncher.SUCCESS;
    } catch (IOException e) {
      System.err.println("added-latency: " + e.getMessage());
      return ProgramLauncher.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ProgramLauncher.FAILURE;
    }
  }

  private static void measure(LatencyOptions options, LatencyRun run, PrintStream out)
      throws IOException, InterruptedException {
    long warmUpMillis = options.warmUpSeconds() * 500L;
    run.saturate(false, warmUpMillis);
    run.saturate(true, warmUpMillis);
    double directRate = 0;
    double entryRate = 0;
    for (int i = 0; i < SATURATION_SLICES; i++) {
      directRate += run.saturate(false, SLICE_MILLIS) / SATURATION_SLICES;
      entryRate += run.saturate(true, SLICE_MILLIS) / SATURATION_SLICES;
    }
    out.printf(
        Locale.ROOT,
        "saturated by %d connections: direct %.0f/s, entry %.0f/s, ratio %.2f%n",
        run.connectionCount(),
        directRate,
        entryRate,
        entryRate / directRate);
    double rate = options.rate() > 0 ? options.rate() : entryRate / 2;
    EntryCounters before = EntryCounters.read(options.admin());
    LatencyRun.Latencies latencies = run.measure(rate, options.seconds());
    EntryCounters after = EntryCounters.read(options.admin());
    out.printf(
        Locale.ROOT,
        "interleaved at %.0f/s on each side, %d + %d calls, %d failed%n",
        rate,
        latencies.direct().getTotalCount(),
        latencies.entry().getTotalCount(),
        latencies.failures());
    out.printf("%10s %10s %10s %10s%n", "percentile", "direct ms", "entry ms", "added ms");
    for (double percentile : PERCENTILES) {
      print(out, percentile, latencies.direct(), latencies.entry());
    }
    out.printf(
        Locale.ROOT,
        "allocated in the entry: %.0f bytes per request%n",
        after.bytesPerRequestSince(before));
  }

  private static void print(PrintStream out, double percentile, Histogram direct, Histogram entry) {
    double directMillis = direct.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    double entryMillis = entry.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    out.printf(
        Locale.ROOT,
        "%10.1f %10.3f %10.3f %10.3f%n",
        percentile,
        directMillis,
        entryMillis,
        entryMillis - directMillis);
  }
}
