package org.chivecross.cli.entry.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivecross.model.failure.Result;
import org.tinylog.Logger;

/**
 * Reloads the settings file on request and whenever its modification time changes. If the file is
 * unreadable or invalid, the last valid settings stay in force. Safe for use by many threads.
 *
 * @param <T> validated content of the file
 */
public final class SettingsWatch<T> {

  /** Polling interval of the modification time; changes without a reload signal are rare. */
  private static final long POLL_PERIOD_MILLIS = 2_000;

  private final Path file;
  private final Supplier<Result<T>> reader;
  private final Consumer<T> apply;
  private FileTime lastModificationTime;

  /**
   * Creates a watch that is not started.
   *
   * @param reader reads the file
   * @param apply applies settings that are valid
   */
  public SettingsWatch(Path file, Supplier<Result<T>> reader, Consumer<T> apply) {
    this.file = file;
    this.reader = reader;
    this.apply = apply;
    lastModificationTime = readModificationTime();
  }

  /** Starts a daemon thread that checks the file periodically. */
  public void start() {
    Thread thread = new Thread(this::watch, "settings-watch");
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads the settings file now and applies it if it is valid. */
  public synchronized void reload() {
    lastModificationTime = readModificationTime();
    Result<T> read = reader.get();
    if (read instanceof Result.Success<T> success) {
      apply.accept(success.value());
    } else if (read instanceof Result.Failed<T> failed) {
      Logger.warn("settings not reloaded, the last ones stay: {}", failed.failures().get(0));
    }
  }

  private void watch() {
    try {
      while (true) {
        Thread.sleep(POLL_PERIOD_MILLIS);
        reloadIfModified();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void reloadIfModified() {
    if (!readModificationTime().equals(lastModificationTime)) {
      reload();
    }
  }

  private FileTime readModificationTime() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      Logger.warn("modification time of settings file {} cannot be read: {}", file, e.getMessage());
      return FileTime.fromMillis(0);
    }
  }
}
