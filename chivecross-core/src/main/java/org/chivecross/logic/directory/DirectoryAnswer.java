package org.chivecross.logic.directory;

import java.util.List;

/**
 * Answer of the entry directory: the entries that a caller may use. Immutable.
 *
 * @param addresses {@code ip:port} of the entries in order of preference
 * @param firstIncarnation incarnation of the first entry, which should own the caller's keys
 * @param lifetimeMillis time for which the caller may cache the answer, in ms
 */
public record DirectoryAnswer(List<String> addresses, long firstIncarnation, long lifetimeMillis) {
  public DirectoryAnswer {
    addresses = List.copyOf(addresses);
  }
}
