package org.chivecross.logic.manifest;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests of file contents. Stateless. */
public final class ContentDigest {

  private ContentDigest() {}

  /** Returns the digest as 64 lower-case hexadecimal digits. */
  public static String sha256(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, which every Java platform must provide", e);
    }
  }
}
