package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * The addresses of the targets in the current view. Implementations are safe for use by many
 * threads.
 */
public interface UpstreamAddresses {

  /** Returns the address of a target row, or empty when the row is no longer in use. */
  Optional<InetSocketAddress> address(int target);

  /** Returns the name that the target of a row uses for itself, if it has one. */
  default Optional<String> identity(int target) {
    return Optional.empty();
  }

  /**
   * Returns headers that are added to requests for a target row.
   *
   * @param earlierAttempts attempts of the request that were sent before
   */
  default Map<String, String> addedHeaders(int target, int earlierAttempts) {
    return Map.of();
  }

  /** Returns the limit on connections from this entry to a target; at least 1. */
  int connectionLimit(int target);
}
