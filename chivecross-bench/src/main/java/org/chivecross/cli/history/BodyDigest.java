package org.chivecross.cli.history;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest of a body in history files: the first 16 hex digits of SHA-256. Not thread-safe. */
public final class BodyDigest {

  private static final int DIGEST_BYTES = 8;

  private final MessageDigest digest;
  private boolean empty = true;

  /** Creates a digest to which no bytes have been added. */
  public BodyDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Returns the digest of a complete body. */
  public static String of(byte[] body) {
    BodyDigest bodyDigest = new BodyDigest();
    bodyDigest.update(ByteBuffer.wrap(body));
    return bodyDigest.toText();
  }

  /** Adds the next bytes of the body. */
  public void update(ByteBuffer bytes) {
    if (bytes.hasRemaining()) {
      empty = false;
      digest.update(bytes);
    }
  }

  /** Returns the digest, or an empty text for an empty body, and resets this object. */
  public String toText() {
    if (empty) {
      return "";
    }
    empty = true;
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }
}
