package org.chivecross.cli.standin.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.chivecross.model.manifest.Manifest;
import org.jspecify.annotations.Nullable;

/**
 * Values by key with the revision at which each was written, read from a packed directory. Safe for
 * use by many threads.
 *
 * <p>Invariant: revisions only grow, and a changed value gets a higher one.
 */
final class StoredValues {

  /** Key of the list of VMs among the values. */
  static final String VMS_KEY = "\0vms";

  /** A value and its revision. */
  record StoredValue(long revision, byte[] content) {}

  private static final byte[] NO_VMS = "[]".getBytes(StandardCharsets.UTF_8);

  private final PlatformSettings settings;
  private final Map<String, StoredValue> values = new HashMap<>();
  private long revision;

  StoredValues(PlatformSettings settings) {
    this.settings = settings;
  }

  /**
   * Reads the directory again.
   *
   * @return whether any value changed
   * @throws IOException if a file can't be read
   */
  synchronized boolean reload() throws IOException {
    long before = revision;
    Path manifest = settings.packed().resolve("manifest");
    boolean published = Files.exists(manifest);
    byte @Nullable [] content = published ? Files.readAllBytes(manifest) : null;
    Path files = settings.packed().resolve("files");
    if (Files.isDirectory(files)) {
      for (Path file : list(files)) {
        String digest = String.valueOf(file.getFileName());
        put(Manifest.fileKey(settings.deployment(), digest), Files.readAllBytes(file));
      }
    }
    byte[] vms = settings.vms().isEmpty() ? NO_VMS : Files.readAllBytes(Path.of(settings.vms()));
    put(VMS_KEY, vms);
    if (content != null) {
      put(Manifest.manifestKey(settings.deployment()), content);
    }
    return revision != before;
  }

  synchronized Optional<StoredValue> get(String key) {
    return Optional.ofNullable(values.get(key));
  }

  synchronized long revision() {
    return revision;
  }

  private void put(String key, byte[] content) {
    StoredValue known = values.get(key);
    if (known != null && Arrays.equals(known.content(), content)) {
      return;
    }
    revision++;
    values.put(key, new StoredValue(revision, content));
  }

  private static List<Path> list(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(Files::isRegularFile).sorted().toList();
    }
  }
}
