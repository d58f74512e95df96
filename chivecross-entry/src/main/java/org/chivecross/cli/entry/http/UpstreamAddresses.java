package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where the targets of the current view listen. Implementations are safe for use by many threads.
 */
public interface UpstreamAddresses {

  /** Returns the address of a target row, or empty when the row is no longer in use. */
  Optional<InetSocketAddress> address(int target);

  /** Returns the name by which the target of a row knows itself, when it has one. */
  default Optional<String> identity(int target) {
    return Optional.empty();
  }

  /** Returns the most connections this entry may hold to a target; at least 1. */
  int connectionLimit(int target);
}
