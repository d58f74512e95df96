package org.chivecross.cli.entry.admin;

import java.util.List;

/**
 * Whether callers may be sent to this entry. Immutable.
 *
 * @param ready whether it is ready
 * @param reasons every reason why it is not
 */
public record ReadinessStatus(boolean ready, List<String> reasons) {
  public ReadinessStatus {
    reasons = List.copyOf(reasons);
  }

  /** Returns the status that has the given reasons against being ready. */
  public static ReadinessStatus of(List<String> reasons) {
    return new ReadinessStatus(reasons.isEmpty(), reasons);
  }
}
