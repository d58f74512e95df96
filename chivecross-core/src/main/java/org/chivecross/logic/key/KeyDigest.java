package org.chivecross.logic.key;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * First 128 bits of the SHA-256 digest of a key, which give a record a fixed size. Immutable.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
record KeyDigest(long high, long low) {

  static KeyDigest of(String key) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      ByteBuffer bytes = ByteBuffer.wrap(sha.digest(key.getBytes(StandardCharsets.US_ASCII)));
      return new KeyDigest(bytes.getLong(), bytes.getLong());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
