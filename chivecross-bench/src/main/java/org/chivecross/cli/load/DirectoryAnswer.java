package org.chivecross.cli.load;

import java.util.List;

/**
 * Answer of the directory.
 *
 * @param entries entries in order of preference, as {@code host:port}
 * @param keyPrefix prefix of idempotency keys; empty when none was given
 * @param expiresNanos monotonic time until which the caller keeps the answer
 */
record DirectoryAnswer(List<String> entries, String keyPrefix, long expiresNanos) {
  DirectoryAnswer {
    entries = List.copyOf(entries);
  }
}
