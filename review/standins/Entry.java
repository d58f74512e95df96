import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** An entry: a process with the command of deploy/system.toml. */
final class Entry {

  private final int number;
  private final Path folder;
  private final Path settings;
  private Process process;

  /** Writes the settings that platform/settings.json.template gives. */
  Entry(Path folder, int number, int entries, String zone, String bounds, String store)
      throws IOException {
    this.number = number;
    this.folder = folder;
    settings = folder.resolve("boot-" + number + ".json");
    String seeds =
        IntStream.rangeClosed(1, Math.min(3, entries))
            .mapToObj(i -> "\"" + Net.ip(i) + ":21382\"")
            .collect(Collectors.joining(","));
    Files.writeString(
        settings,
        """
        {"entry": "front-%d", "ip": "%s", "dataCentre": "%s",
         "regions": {"z1": "r", "z2": "r", "z3": "r"},
         "callers": "%s:%d", "readiness": "%s:%d", "directory": "%s:%d",
         "peerPorts": [%d, %d], "seeds": [%s], "firstStart": true,
         "bounds": {%s}, "store": "%s"}
        """
            .formatted(
                number,
                ip(),
                zone,
                ip(),
                Net.CALLERS,
                ip(),
                Net.READY,
                ip(),
                Net.DIRECTORY,
                Net.PEERS,
                Net.PEERS + 15,
                seeds,
                bounds,
                store));
  }

  String ip() {
    return Net.ip(number);
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    List<String> command = new ArrayList<>();
    for (String word : run.split(" ")) {
      command.add(word.equals("/etc/chivecross/boot.json") ? settings.toString() : word);
    }
    command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    // All entries of the test share one machine, where each has an address of its own.
    command.add("--metrics-port");
    command.add(String.valueOf(Net.METRICS));
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("entry-" + number + ".log").toFile()))
            .start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  Path log() {
    return folder.resolve("entry-" + number + ".log");
  }

  boolean isRunning() {
    return process.isAlive();
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip() + ":" + Net.READY + "/-/ready").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
