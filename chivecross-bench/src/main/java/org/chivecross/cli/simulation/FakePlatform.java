package org.chivecross.cli.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.manifest.Manifest;

/**
 * Simulated platform that serves published file sets and can be unreachable for some or all readers
 * or stale. Not thread-safe.
 *
 * <p>Invariant: each published set has a higher revision than the one before; a stale platform
 * keeps serving an earlier revision.
 */
public final class FakePlatform {

  /** Deployment of all published sets. */
  public static final String DEPLOYMENT = "simulated";

  private static final String NAME = "platform";
  private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
  private static final int FILES_PER_SET = 3;

  /** A pending watch for a revision newer than {@code revision}. */
  private record Watch(
      String reader, long revision, long endNanos, Consumer<Result<PlatformValue>> answer) {}

  private final VirtualTime time;
  private final ManifestCodec codec = new ManifestCodec();
  private final List<PlatformValue> manifests = new ArrayList<>();
  private final Map<String, byte[]> files = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final TreeMap<Long, Integer> callsBySecond = new TreeMap<>();
  private Predicate<String> reachable = reader -> true;
  private int servedIndex = -1;
  private boolean isStale;

  /** Creates a platform that holds nothing. */
  public FakePlatform(VirtualTime time) {
    this.time = time;
  }

  /**
   * Publishes a set of files. Each file contains {@code marker} and the revision, except the first
   * one, which is the same in all sets.
   *
   * @param complete whether the contents of the files are published along with the manifest
   * @return the revision
   */
  public long publish(String marker, boolean complete) {
    long revision = manifests.size() + 1L;
    Map<String, byte[]> contents = new HashMap<>();
    for (int i = 0; i < FILES_PER_SET; i++) {
      String text = marker + " " + revision;
      // One file is the same in all sets, so that entries need not fetch its content again.
      String content = i == 0 ? "same 0" : text + " file " + i;
      contents.put("file" + i, content.getBytes(StandardCharsets.UTF_8));
    }
    Manifest manifest = codec.describe(DEPLOYMENT, 0, contents);
    if (complete) {
      manifest.files().forEach(file -> files.put(file.key(), contents.get(file.name())));
    }
    manifests.add(new PlatformValue(revision, codec.write(manifest)));
    if (!isStale) {
      servedIndex = manifests.size() - 1;
      answerWatches();
    }
    return revision;
  }

  /** Keeps the platform at the revision it serves now, or makes it serve the latest one again. */
  public void setStale(boolean newStale) {
    isStale = newStale;
    if (!isStale) {
      servedIndex = manifests.size() - 1;
      answerWatches();
    }
  }

  /**
   * Makes the platform stale at the revision {@code steps} before the one it serves now, but not
   * before the first one.
   */
  public void serveEarlierRevision(int steps) {
    isStale = true;
    servedIndex = Math.max(Math.min(0, servedIndex), servedIndex - steps);
  }

  /** Sets which readers can reach the platform. */
  public void setReachable(Predicate<String> newReachable) {
    reachable = newReachable;
  }

  /** Returns the number of calls by second of virtual time, without seconds that had none. */
  public Map<Long, Integer> callsBySecond() {
    return callsBySecond;
  }

  void readManifest(String reader, Consumer<Result<PlatformValue>> answer) {
    countCall();
    time.after(DELAY_NANOS, () -> answer.accept(servedManifest(reader)));
  }

  void watchManifest(
      String reader, long revision, long waitNanos, Consumer<Result<PlatformValue>> answer) {
    countCall();
    boolean newer = servedIndex >= 0 && manifests.get(servedIndex).revision() > revision;
    if (newer || !reachable.test(reader)) {
      time.after(DELAY_NANOS, () -> answer.accept(servedManifest(reader)));
      return;
    }
    Watch watch = new Watch(reader, revision, time.now() + waitNanos, answer);
    watches.add(watch);
    time.after(
        waitNanos,
        () -> {
          if (watches.remove(watch)) {
            answer.accept(servedManifest(reader));
          }
        });
  }

  void readFile(String reader, String key, Consumer<Result<byte[]>> answer) {
    countCall();
    time.after(DELAY_NANOS, () -> answer.accept(servedFile(reader, key)));
  }

  private Result<byte[]> servedFile(String reader, String key) {
    byte[] content = files.get(key);
    if (!reachable.test(reader) || content == null) {
      return Result.failed(Step.PLATFORM_READ, NAME, "no value " + key);
    }
    return Result.success(content);
  }

  private Result<PlatformValue> servedManifest(String reader) {
    if (!reachable.test(reader) || servedIndex < 0) {
      return Result.failed(Step.PLATFORM_READ, NAME, "no answer");
    }
    return Result.success(manifests.get(servedIndex));
  }

  private void answerWatches() {
    long revision = manifests.get(servedIndex).revision();
    List<Watch> pending = new ArrayList<>(watches);
    for (Watch watch : pending) {
      if (watch.revision() < revision && watches.remove(watch)) {
        time.after(DELAY_NANOS, () -> watch.answer().accept(servedManifest(watch.reader())));
      }
    }
  }

  private void countCall() {
    callsBySecond.merge(TimeUnit.NANOSECONDS.toSeconds(time.now()), 1, Integer::sum);
  }
}
