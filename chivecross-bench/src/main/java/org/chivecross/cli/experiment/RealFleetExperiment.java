package org.chivecross.cli.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.chivecross.cli.experiment.RealFleet.RealEntry;
import org.chivecross.cli.settings.HostPort;
import org.chivecross.cli.standin.platform.PlatformSettings;
import org.chivecross.cli.standin.platform.PlatformStandin;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;

/**
 * Measures a fleet of entry processes: how long a configuration change takes to reach all entries,
 * the number of platform calls, the cost of control traffic, how evenly the directory spreads
 * callers over entries, and how fast a killed entry is removed from the directory. Arguments:
 * directory of the pulpwood file set, scratch directory, number of entries, then flags that are
 * passed on to the entries. Stateless.
 */
public final class RealFleetExperiment {

  private static final String DEPLOYMENT = "pulpwood";
  private static final String CONFIG_PATH = "/admin/v1/config";
  private static final int CHANGES = 5;
  private static final int CALLERS = 1_000;
  private static final int IDLE_SECONDS = 60;
  private static final long LIMIT_MILLIS = 60_000;

  private RealFleetExperiment() {}

  /** Prints one line for each figure. */
  public static void main(String[] arguments) throws Exception {
    Path files = Path.of(arguments[0]);
    Path scratch = Files.createDirectories(Path.of(arguments[1]));
    int entryCount = Integer.parseInt(arguments[2]);
    List<String> entryFlags = List.of(arguments).subList(3, arguments.length);
    Path packed = scratch.resolve("packed");
    Files.createDirectories(packed.resolve("files"));
    publish(files, packed, 0);
    PlatformSettings settings =
        new PlatformSettings(packed, DEPLOYMENT, new HostPort("127.0.0.1", 0), "");
    try (PlatformStandin platform = new PlatformStandin(settings)) {
      int port = platform.start();
      try (RealFleet fleet = new RealFleet(scratch)) {
        fleet.start(entryCount, entryCount, port, entryFlags);
        measureAll(fleet, files, packed, port);
      }
      try (RealFleet fleet = new RealFleet(scratch)) {
        fleet.start(entryCount, 1, port, entryFlags);
        await("one reaches: all ready ms", fleet, "/ready", "\"ready\":true");
        measureChanges("one reaches", fleet, files, packed, 100);
      }
    }
    System.exit(0);
  }

  private static void measureAll(RealFleet fleet, Path files, Path packed, int port)
      throws Exception {
    await("start: all ready ms", fleet, "/ready", "\"ready\":true");
    Thread.sleep(5_000);
    String before = fleet.get(port, "/control");
    measureChanges("platform up", fleet, files, packed, 1);
    System.out.println("calls before the changes: " + before);
    System.out.println("calls after " + CHANGES + " changes: " + fleet.get(port, "/control"));
    measureIdleCost(fleet, port);
    measureDirectorySpread(fleet);
    measureKillDetection(fleet);
  }

  private static void measureChanges(
      String label, RealFleet fleet, Path files, Path packed, int firstChange) throws Exception {
    List<Long> changeMillis = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      Thread.sleep(700);
      String oldVersion = version(fleet.get(fleet.entries().get(0).admin(), CONFIG_PATH));
      String expected = publish(files, packed, firstChange + i);
      long millis = fleet.awaitAll(fleet.entries(), "/admin/v1/tenants", expected, LIMIT_MILLIS);
      changeMillis.add(millis);
      String newVersion = version(fleet.get(fleet.entries().get(0).admin(), CONFIG_PATH));
      System.out.printf(
          "%s: version %s to %s everywhere in %d ms%n", label, oldVersion, newVersion, millis);
    }
    System.out.printf(
        "%s: slowest of %d changes %d ms%n",
        label, CHANGES, changeMillis.stream().mapToLong(Long::longValue).max().orElse(-1));
  }

  private static void measureIdleCost(RealFleet fleet, int port) throws Exception {
    String before = fleet.get(port, "/control");
    double bytesBefore = fleet.metric("chivecross_peer_sent_bytes");
    long cpuBefore = fleet.cpuMillis();
    Thread.sleep(IDLE_SECONDS * 1_000L);
    int size = fleet.entries().size();
    System.out.printf(
        "idle: CPU of one entry %.2f %% of a core%n",
        (fleet.cpuMillis() - cpuBefore) / 10.0 / IDLE_SECONDS / size);
    System.out.printf(
        "idle: bytes sent to entries by one entry %.0f /s%n",
        (fleet.metric("chivecross_peer_sent_bytes") - bytesBefore) / IDLE_SECONDS / size);
    System.out.println("idle minute: calls before " + before);
    System.out.println("idle minute: calls after " + fleet.get(port, "/control"));
    System.out.println("largest resident set, MB: " + fleet.residentMegabytes());
  }

  private static void measureDirectorySpread(RealFleet fleet) {
    Random random = new Random(1);
    Map<String, Integer> callersByFirstEntry = new HashMap<>();
    for (int i = 0; i < CALLERS; i++) {
      RealEntry directoryEntry = fleet.entries().get(random.nextInt(fleet.entries().size()));
      String answer =
          fleet.get(
              directoryEntry.listen(),
              "/chivecross/entries?caller=caller" + i + "&data-centre=dc" + i % 3);
      callersByFirstEntry.merge(answer.split("\"", -1)[3], 1, Integer::sum);
    }
    int largest = callersByFirstEntry.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    System.out.printf(
        "directory: %d callers over %d entries, max/mean %.3f%n",
        CALLERS, callersByFirstEntry.size(), largest * (double) fleet.entries().size() / CALLERS);
  }

  private static void measureKillDetection(RealFleet fleet) throws Exception {
    RealEntry victim = fleet.entries().remove(fleet.entries().size() - 1);
    victim.process().destroyForcibly().waitFor();
    long startNanos = System.nanoTime();
    String address = "127.0.0.1:" + victim.listen() + "\"";
    boolean isListed = true;
    while (isListed && System.nanoTime() - startNanos < LIMIT_MILLIS * 1_000_000) {
      Thread.sleep(20);
      isListed =
          fleet.entries().stream()
              .anyMatch(
                  entry -> fleet.get(entry.listen(), "/chivecross/entries").contains(address));
    }
    System.out.printf(
        "killed: out of all directory answers after %d ms%n",
        (System.nanoTime() - startNanos) / 1_000_000);
  }

  private static void await(String label, RealFleet fleet, String path, String text)
      throws InterruptedException {
    System.out.println(label + ": " + fleet.awaitAll(fleet.entries(), path, text, LIMIT_MILLIS));
  }

  private static String version(String config) {
    int at = config.indexOf("\"version\":\"") + 11;
    return at < 11 ? "?" : config.substring(at, config.indexOf('"', at));
  }

  /**
   * Publishes the file set with another weight of the tenants.
   *
   * @return text that an entry's tenant list contains once the set is in force
   */
  private static String publish(Path files, Path packed, int change) throws IOException {
    Map<String, byte[]> contents = new HashMap<>();
    String weight = "weight: " + (1 + change);
    try (Stream<Path> paths = Files.walk(files)) {
      for (Path file : paths.filter(Files::isRegularFile).sorted().toList()) {
        String name = files.relativize(file).toString();
        String text = Files.readString(file);
        boolean isTenant = name.startsWith("tenants/");
        String content = isTenant ? text.replaceAll("weight: \\d+", weight) : text;
        contents.put(name, content.getBytes(StandardCharsets.UTF_8));
      }
    }
    ManifestCodec codec = new ManifestCodec();
    Manifest manifest = codec.describe(DEPLOYMENT, 0, contents);
    for (ManifestFile file : manifest.files()) {
      byte[] content = contents.getOrDefault(file.name(), new byte[0]);
      Files.write(packed.resolve("files").resolve(file.sha256()), content);
    }
    Path next = Files.write(packed.resolve("next"), codec.write(manifest));
    Files.move(next, packed.resolve("manifest"), StandardCopyOption.ATOMIC_MOVE);
    return "\"weight\":" + (1 + change) + ",";
  }
}
