package org.chivecross.cli.experiment;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/** Entry processes started on the loopback interface. Not thread-safe. */
final class RealFleet implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int DATA_CENTRES = 3;
  private static final int FIRST_PORT = 22_000;

  /** An entry process and its ports for callers, administration and peers. */
  record RealEntry(Process process, int listen, int admin, int peer) {}

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final List<RealEntry> entries = new ArrayList<>();
  private final Path logs;

  RealFleet(Path logs) {
    this.logs = logs;
  }

  /**
   * Starts entries. The first {@code connectedCount} get the address of the platform, the others
   * the address of a closed port.
   *
   * @throws IOException if a process can't be started
   */
  void start(int count, int connectedCount, int platformPort, List<String> entryFlags)
      throws IOException {
    List<Integer> ports = unusedPorts(3 * count);
    StringBuilder peers = new StringBuilder();
    for (int i = 0; i < Math.min(count, 5); i++) {
      peers.append(i == 0 ? "" : ",").append("127.0.0.1:").append(ports.get(3 * i + 2));
    }
    int closedPort = unusedPorts(3 * count + 1).get(3 * count);
    for (int i = 0; i < count; i++) {
      List<String> command =
          new ArrayList<>(
              List.of(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-Xmx96m",
                  "-XX:+UseSerialGC",
                  "-cp",
                  System.getProperty("java.class.path"),
                  "org.chivecross.cli.entry.EntryMain",
                  "--platform",
                  "http://127.0.0.1:" + (i < connectedCount ? platformPort : closedPort),
                  "--deployment",
                  "pulpwood",
                  "--data-centre",
                  "dc" + i % DATA_CENTRES,
                  "--entry-bound",
                  Integer.toString(count),
                  "--listen",
                  "127.0.0.1:" + ports.get(3 * i),
                  "--admin-listen",
                  "127.0.0.1:" + ports.get(3 * i + 1),
                  "--peer-listen",
                  "127.0.0.1:" + ports.get(3 * i + 2),
                  "--peers",
                  peers.toString()));
      command.addAll(entryFlags);
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(logs.resolve("entry" + i + ".log").toFile())
              .start();
      entries.add(
          new RealEntry(process, ports.get(3 * i), ports.get(3 * i + 1), ports.get(3 * i + 2)));
    }
  }

  List<RealEntry> entries() {
    return entries;
  }

  /** Returns the body of a response, or an empty text if the request fails. */
  String get(int port, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  /**
   * Waits until the response of each of the entries at an administration path contains a text.
   *
   * @return time waited in ms, or -1 if that took longer than {@code limitMillis}
   */
  long awaitAll(List<RealEntry> awaited, String path, String text, long limitMillis)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    List<RealEntry> pending = new ArrayList<>(awaited);
    while (!pending.isEmpty()) {
      pending.removeIf(entry -> get(entry.admin(), path).contains(text));
      long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
      if (pending.isEmpty() || elapsedMillis > limitMillis) {
        return pending.isEmpty() ? elapsedMillis : -1;
      }
      Thread.sleep(10);
    }
    return 0;
  }

  /** Returns the CPU time of all processes together, in ms. */
  long cpuMillis() {
    return entries.stream()
        .mapToLong(
            entry ->
                entry
                    .process()
                    .toHandle()
                    .info()
                    .totalCpuDuration()
                    .map(Duration::toMillis)
                    .orElse(0L))
        .sum();
  }

  /** Returns the sum of an unlabelled metric over all entries. */
  double metric(String name) {
    double sum = 0;
    for (RealEntry entry : entries) {
      for (String line : get(entry.admin(), "/metrics").split("\n", -1)) {
        if (line.startsWith(name + " ")) {
          sum += Double.parseDouble(line.substring(name.length() + 1));
        }
      }
    }
    return sum;
  }

  /** Returns the largest resident set size of all processes, in MB. */
  long residentMegabytes() throws IOException {
    long largest = 0;
    for (RealEntry entry : entries) {
      Path status = Path.of("/proc/" + entry.process().pid() + "/status");
      for (String line : Files.readAllLines(status)) {
        if (line.startsWith("VmRSS:")) {
          largest = Math.max(largest, Long.parseLong(line.replaceAll("\\D", "")) / 1024);
        }
      }
    }
    return largest;
  }

  @Override
  public void close() {
    entries.forEach(entry -> entry.process().destroyForcibly());
  }

  /**
   * Returns ports below the range from which outgoing connections get theirs; one that such a
   * connection takes after this check could not be bound.
   */
  private static List<Integer> unusedPorts(int count) {
    List<Integer> ports = new ArrayList<>();
    for (int port = FIRST_PORT; ports.size() < count; port++) {
      try (ServerSocket socket = new ServerSocket(port)) {
        ports.add(socket.getLocalPort());
      } catch (IOException e) {
        Logger.debug("port {} is in use", port);
      }
    }
    return ports;
  }
}
