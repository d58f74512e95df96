import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, targets and entries. */
final class Site implements AutoCloseable {

  private final String network;
  private final Path folder;
  private final Record record;
  private final Store store;
  private final List<Entry> entries = new CopyOnWriteArrayList<>();
  private int targets;

  Site(Record record) throws IOException {
    this.record = record;
    ThreadLocalRandom random = ThreadLocalRandom.current();
    network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
    folder = Files.createTempDirectory("review-2");
    store = new Store(network + 1);
    // Ends the entries also if the program is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::end)));
  }

  Store store() {
    return store;
  }

  Target target(String service, int slots, Target.Work work) throws IOException {
    targets++;
    String id = "i-" + service + targets;
    return new Target(
        network + (100 + targets), id, service, "zone-a", slots, store, record, work);
  }

  /** Starts entries and waits until all are ready; returns false if one is not in time. */
  boolean startEntries(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      String seeds = "\"" + network + "10:8382\", \"" + network + "11:8382\"";
      Entry entry =
          new Entry("entry-" + i, network + (10 + i), "zone-a", seeds, store.address(), folder);
      entries.add(entry);
      entry.start();
      record.line("entry %s started as process %d", entry, entry.pid());
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(20_000)) {
        record.line("entry %s is not ready", entry);
        return false;
      }
    }
    return true;
  }

  Entry entry(int index) {
    return entries.get(index);
  }

  /** Copies the last lines of an entry's log to the record. */
  void recordLog(Entry entry, String part, int lines) throws IOException {
    List<String> found =
        Files.readAllLines(entry.log()).stream().filter(line -> line.contains(part)).toList();
    int from = Math.max(0, found.size() - lines);
    found.subList(from, found.size()).forEach(line -> record.line("log of %s: %s", entry, line));
  }

  @Override
  public void close() throws IOException {
    entries.forEach(Entry::end);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
