package org.chivecross.cli.admin;

import org.chivecross.model.manifest.ConfigVersion;

/** Text form of versions. Stateless. */
final class VersionText {

  private static final String FORMAT = "[0-9]{1,18}(\\.[0-9]{1,18})?";

  private VersionText() {}

  /**
   * Returns the version of {@code epoch.revision}, or of {@code revision} in epoch 0; other text is
   * the version before any file set.
   */
  static ConfigVersion parse(String text) {
    if (!text.matches(FORMAT)) {
      return ConfigVersion.NONE;
    }
    int dot = text.indexOf('.');
    return dot < 0
        ? new ConfigVersion(0, Long.parseLong(text))
        : new ConfigVersion(
            Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }
}
