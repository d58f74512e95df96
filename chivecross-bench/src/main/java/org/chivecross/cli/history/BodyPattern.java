package org.chivecross.cli.history;

/**
 * Body bytes that depend on the request, so that a body that is cut short or belongs to another
 * request is recognised. Immutable.
 */
public final class BodyPattern {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final long seed;

  /** Creates the pattern of a request. */
  public BodyPattern(String requestId) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < requestId.length(); i++) {
      hash = (hash ^ requestId.charAt(i)) * FNV_PRIME;
    }
    seed = hash;
  }

  /** Returns the byte at a position of the body. */
  public byte byteAt(long position) {
    long word = seed + (position >>> 3) * FNV_PRIME;
    return (byte) (word >>> ((position & 7) * 8));
  }

  /** Returns {@code length} bytes from {@code position} on. */
  public byte[] bytes(long position, int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = byteAt(position + i);
    }
    return bytes;
  }

  /** Returns whether {@code bytes} stand at {@code position} of the body. */
  public boolean matches(long position, byte[] bytes) {
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] != byteAt(position + i)) {
        return false;
      }
    }
    return true;
  }
}
