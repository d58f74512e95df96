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
 * Values by key, each with the revision at which it last changed, read from a packed directory and
 * the file with the list of VMs. Thread-safe.
 *
 * <p>Invariant: the revision never decreases, and a changed value gets a higher one.
 */
final class StoredValues {

  /** Key under which the list of VMs is stored. */
  static final String VMS_KEY = "\0vms";

  /** A value and the revision at which it last changed. */
  record StoredValue(long revision, byte[] content) {}

  private static final byte[] NO_VMS = "[]".getBytes(StandardCharsets.UTF_8);

  private final PlatformSettings settings;
  private final Map<String, StoredValue> values = new HashMap<>();
  private long revision;

  StoredValues(PlatformSettings settings) {
    this.settings = settings;
  }

  /**
   * Reads the directory and the list of VMs again.
   *
   * @return whether any value has changed
   * @throws IOException if a file can't be read
   */
  synchronized boolean reload() throws IOException {
    long before = revision;
    Path manifest = settings.packed().resolve("manifest");
    boolean hasManifest = Files.exists(manifest);
    byte @Nullable [] content = hasManifest ? Files.readAllBytes(manifest) : null;
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
    StoredValue previous = values.get(key);
    if (previous != null && Arrays.equals(previous.content(), content)) {
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
