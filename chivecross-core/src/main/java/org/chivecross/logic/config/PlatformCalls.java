package org.chivecross.logic.config;

/** Calls of the platform's configuration service. Answers come back as events. */
public interface PlatformCalls {

  /** Reads the manifest now. */
  void readManifest();

  /**
   * Reads the manifest once its revision is higher than {@code revision}, or after the wait.
   *
   * @param waitMillis longest wait, in ms
   */
  void watchManifest(long revision, long waitMillis);

  /**
   * Reads the content of a file.
   *
   * @param key key of the value
   * @param digest digest that the answer event repeats
   */
  void readFile(String key, String digest);
}
