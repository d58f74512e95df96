package org.chivecross.cli.admin;

import org.chivecross.model.manifest.ConfigVersion;

/** Parses versions of file sets. Stateless. */
final class VersionText {

  private static final String FORMAT = "[0-9]{1,18}(\\.[0-9]{1,18})?";

  private VersionText() {}

  /**
   * Returns the version in the format {@code epoch.revision}, or {@code revision} for epoch 0;
   * {@link ConfigVersion#NONE} for any other text.
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
