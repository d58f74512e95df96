package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.Buffer;

/**
 * Check of the bytes of a head before the HTTP library parses them. Implementations are immutable
 * and safe for use by many threads.
 */
@FunctionalInterface
interface HeadGuard {

  /**
   * Checks the lines of a head that are complete so far.
   *
   * @param bytes array that holds the head
   * @param from index of the first byte
   * @param to index after the last byte
   * @return whether the head is complete
   * @throws HeadRefusal when the head must be refused
   */
  boolean check(byte[] bytes, int from, int to);

  /** As {@link #check(byte[], int, int)}, for the remaining bytes of a buffer. */
  default boolean check(Buffer head) {
    if (head.hasArray()) {
      int from = head.arrayOffset() + head.position();
      return check(head.array(), from, from + head.remaining());
    }
    byte[] copy = new byte[head.remaining()];
    head.duplicate().get(copy);
    return check(copy, 0, copy.length);
  }
}
