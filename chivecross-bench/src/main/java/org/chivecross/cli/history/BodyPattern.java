package org.chivecross.cli.history;

/**
 * Generator of body bytes that depend on the request id, by which a receiver detects a body that is
 * truncated or belongs to another request. Immutable.
 */
public final class BodyPattern {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final long seed;

  /** Creates the pattern of the request with the given id. */
  public BodyPattern(String requestId) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < requestId.length(); i++) {
      hash = (hash ^ requestId.charAt(i)) * FNV_PRIME;
    }
    seed = hash;
  }

  /** Returns the byte at the given position of the body. */
  public byte byteAt(long position) {
    long word = seed + (position >>> 3) * FNV_PRIME;
    return (byte) (word >>> ((position & 7) * 8));
  }

  /** Returns {@code length} bytes of the body, starting at {@code position}. */
  public byte[] bytes(long position, int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = byteAt(position + i);
    }
    return bytes;
  }

  /** Returns whether the body contains {@code bytes} at {@code position}. */
  public boolean matches(long position, byte[] bytes) {
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] != byteAt(position + i)) {
        return false;
      }
    }
    return true;
  }
}
