package org.chivecross.logic.config;

/** Client of the platform's configuration service. Answers arrive later as events. */
public interface PlatformCalls {

  /** Reads the manifest now. */
  void readManifest();

  /**
   * Watches the manifest: reads it when its revision exceeds {@code revision}, or when the wait is
   * over.
   *
   * @param waitMillis maximum wait, in ms
   */
  void watchManifest(long revision, long waitMillis);

  /**
   * Reads the content of a file.
   *
   * @param key key of the value
   * @param digest digest of the file, which the answer event repeats
   */
  void readFile(String key, String digest);
}
