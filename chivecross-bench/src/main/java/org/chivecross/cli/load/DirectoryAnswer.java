package org.chivecross.cli.load;

import java.util.List;

/**
 * Answer of an entry's directory to one caller. Immutable.
 *
 * @param entries entries in order of preference, as {@code host:port}
 * @param keyPrefix prefix of the caller's idempotency keys; empty if none was assigned
 * @param expiresNanos monotonic time at which the answer expires, in ns; 0 before the first answer
 */
record DirectoryAnswer(List<String> entries, String keyPrefix, long expiresNanos) {
  DirectoryAnswer {
    entries = List.copyOf(entries);
  }
}
