package org.chivecross.cli.experiment;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.logic.fileset.FileSetPacker;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;

/**
 * Measures the time and the allocation of checking a file set, and the size of the published set
 * and manifest, for several numbers of targets. Not thread-safe.
 */
public final class FileSetCheckExperiment {

  private static final int[] TARGET_COUNTS = {350, 700, 1400, 2800};
  private static final int TARGETS_PER_SERVICE = 11;
  private static final int DATA_CENTRES = 11;
  private static final int WARM_UP_RUNS = 30;
  private static final int MEASURED_RUNS = 21;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private FileSetCheckExperiment() {}

  /** Prints a table with one line for each number of targets. */
  public static void main(String[] arguments) {
    System.out.println(
        "targets  files   set bytes  manifest bytes  check ms (min median max)  allocated MB");
    for (int targets : TARGET_COUNTS) {
      measure(targets);
    }
  }

  private static void measure(int targets) {
    Map<String, byte[]> contents = contents(targets);
    FileSetParser parser = new FileSetParser();
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      parse(parser, contents);
    }
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    double[] millis = new double[MEASURED_RUNS];
    long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < MEASURED_RUNS; i++) {
      long startNanos = System.nanoTime();
      parse(parser, contents);
      millis[i] = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
    long allocatedBytes =
        (threads.getCurrentThreadAllocatedBytes() - allocatedBefore) / MEASURED_RUNS;
    Arrays.sort(millis);
    Result<Map<String, byte[]>> packed = new FileSetPacker().pack(contents, 0);
    byte[] manifest =
        ((Result.Success<Map<String, byte[]>>) packed)
            .value()
            .getOrDefault("manifest", new byte[0]);
    System.out.printf(
        Locale.ROOT,
        "%7d  %5d  %10d  %14d  %8.2f %6.2f %6.2f  %17.1f%n",
        targets,
        contents.size(),
        contents.values().stream().mapToInt(content -> content.length).sum(),
        manifest.length,
        millis[0],
        millis[MEASURED_RUNS / 2],
        millis[MEASURED_RUNS - 1],
        allocatedBytes / BYTES_PER_MEGABYTE);
  }

  private static void parse(FileSetParser parser, Map<String, byte[]> contents) {
    if (parser.parseBytes(contents) instanceof Result.Failed<FileSet> failed) {
      throw new IllegalStateException(failed.failures().get(0).toString());
    }
  }

  private static Map<String, byte[]> contents(int targets) {
    Map<String, byte[]> contents = new TreeMap<>();
    StringBuilder dataCentres = new StringBuilder("dc0");
    for (int i = 1; i < DATA_CENTRES; i++) {
      dataCentres.append(", dc").append(i);
    }
    put(
        contents,
        "deployment.yaml",
        "name: grown\nentryBound: 60\ndirectoryLifetimeMillis: 5000\nkeyWindowMillis: 600000\n"
            + "dataCentres: ["
            + dataCentres
            + "]\n");
    int services = targets / TARGETS_PER_SERVICE;
    for (int service = 0; service <= services; service++) {
      int firstTarget = service * TARGETS_PER_SERVICE;
      int endTarget = Math.min(targets, firstTarget + TARGETS_PER_SERVICE);
      if (firstTarget < endTarget) {
        addService(contents, service, firstTarget, endTarget);
      }
    }
    return contents;
  }

  private static void addService(
      Map<String, byte[]> contents, int service, int firstTarget, int endTarget) {
    String limits = "limits: {concurrency: 1000, ratePerSecond: 30000, burst: 2000}\n";
    put(
        contents,
        "tenants/team-" + service + ".yaml",
        "name: team-" + service + "\nweight: 1\n" + limits);
    StringBuilder text = new StringBuilder("name: service-" + service + "\nowner: team-" + service);
    text.append("\nprobeBudget: 0.02\nprobeMillis: 6\nqueuePerTarget: 4\n").append(limits);
    for (String classHead : new String[] {"classes:\n  read: ", "  write: "}) {
      text.append(classHead)
          .append("{deadlineMillis: 1000, retryFraction: 0.1, hedgeFraction: 0}\n");
    }
    text.append("targets:\n");
    for (int target = firstTarget; target < endTarget; target++) {
      text.append("  - {dataCentre: dc").append(target % DATA_CENTRES);
      text.append(", slots: 4, connections: 300, addresses: [\"10.");
      text.append(target / 10_000).append('.').append(target / 100 % 100).append('.');
      text.append(target % 100 + 1).append(":8080\"]}\n");
    }
    put(contents, "services/service-" + service + ".yaml", text.toString());
    put(
        contents,
        "rules/service-" + service + ".yaml",
        "rules:\n  - {host: \"*\", pathPrefix: /s"
            + service
            + ", methods: [GET, HEAD], service: service-"
            + service
            + ", requestClass: read}\n  - {host: \"*\", pathPrefix: /s"
            + service
            + ", methods: [POST], service: service-"
            + service
            + ", requestClass: write}\n");
  }

  private static void put(Map<String, byte[]> contents, String name, String text) {
    contents.put(name, text.getBytes(StandardCharsets.UTF_8));
  }
}
