package org.chivecross.cli.entry.admin;

import java.util.List;

/**
 * Whether callers may be sent to this entry. Immutable.
 *
 * @param ready whether it is ready
 * @param reasons all reasons why it is not ready; empty when it is
 */
public record ReadinessStatus(boolean ready, List<String> reasons) {
  public ReadinessStatus {
    reasons = List.copyOf(reasons);
  }

  /** Returns the status of an entry that is ready if {@code reasons} is empty. */
  public static ReadinessStatus of(List<String> reasons) {
    return new ReadinessStatus(reasons.isEmpty(), reasons);
  }
}
