package org.chivecross.cli.history;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest of a body as history lines hold it: 16 hex digits of SHA-256. Not thread-safe. */
public final class BodyDigest {

  private static final int DIGEST_BYTES = 8;

  private final MessageDigest digest;
  private boolean empty = true;

  /** Creates the digest of a body of which nothing was seen yet. */
  public BodyDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Returns the digest of a whole body. */
  public static String of(byte[] body) {
    BodyDigest whole = new BodyDigest();
    whole.update(ByteBuffer.wrap(body));
    return whole.toText();
  }

  /** Adds the next bytes of the body. */
  public void update(ByteBuffer bytes) {
    if (bytes.hasRemaining()) {
      empty = false;
      digest.update(bytes);
    }
  }

  /** Returns the digest and starts anew; the empty text for an empty body. */
  public String toText() {
    if (empty) {
      return "";
    }
    empty = true;
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }
}
