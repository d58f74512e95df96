package org.chivecross.cli.entry.admin;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The file set in force and the most recently refused one. Immutable.
 *
 * @param deployment name of the deployment; empty when no set is in force
 * @param version version in force as {@code epoch.revision}; "0.0" when no set is in force
 * @param since UTC time in ISO 8601 at which it came into force at this entry; empty when none is
 * @param services number of services
 * @param targets number of targets
 * @param refused most recently refused file set; null when none was refused since the start
 */
public record ConfigStatus(
    String deployment,
    String version,
    String since,
    int services,
    int targets,
    @Nullable RefusedConfig refused) {

  /** Status before any set is in force. */
  public static final ConfigStatus NONE = new ConfigStatus("", "0.0", "", 0, 0, null);

  /**
   * A refused file set.
   *
   * @param version version as {@code epoch.revision}
   * @param at UTC time in ISO 8601 at which it was refused
   * @param errors every error found
   */
  public record RefusedConfig(String version, String at, List<String> errors) {
    public RefusedConfig {
      errors = List.copyOf(errors);
    }
  }
}
