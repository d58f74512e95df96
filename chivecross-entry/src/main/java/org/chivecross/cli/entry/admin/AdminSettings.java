package org.chivecross.cli.entry.admin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Settings of the administration API: its address and a digest of the bearer token. Immutable and
 * thread-safe; the token itself is not kept.
 */
public final class AdminSettings {

  private static final int MIN_TOKEN_LENGTH = 16;
  private static final int MAX_TOKEN_LENGTH = 256;
  private static final String BEARER_PREFIX = "Bearer ";

  private final InetSocketAddress address;
  private final byte[] tokenDigest;

  private AdminSettings(InetSocketAddress address, byte[] tokenDigest) {
    this.address = address;
    this.tokenDigest = tokenDigest;
  }

  /**
   * Validates the settings.
   *
   * @param address address of the API; must be a loopback address if {@code token} is empty
   * @param token bearer token that clients must send; empty for none
   */
  public static Result<AdminSettings> of(InetSocketAddress address, String token) {
    if (token.isEmpty()) {
      boolean isLoopback = address.getAddress() != null && address.getAddress().isLoopbackAddress();
      return isLoopback
          ? Result.success(new AdminSettings(address, new byte[0]))
          : failed("no token", "a token, since " + address.getHostString() + " is not loopback");
    }
    if (token.length() < MIN_TOKEN_LENGTH
        || token.length() > MAX_TOKEN_LENGTH
        || !token.matches("[!-~]+")) {
      return failed(
          token.length() + " characters",
          MIN_TOKEN_LENGTH
              + " to "
              + MAX_TOKEN_LENGTH
              + " printable ASCII characters without spaces");
    }
    return Result.success(new AdminSettings(address, digest(token)));
  }

  /** Returns the address to bind. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns whether a client is authorized. The comparison takes constant time, so that its
   * duration does not reveal how much of a token is correct.
   *
   * @param authorization value of the {@code Authorization} header, or ""
   */
  boolean isAuthorized(String authorization) {
    if (tokenDigest.length == 0) {
      return true;
    }
    boolean isBearer =
        authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length());
    String given = isBearer ? authorization.substring(BEARER_PREFIX.length()).strip() : "";
    return MessageDigest.isEqual(tokenDigest, digest(given));
  }

  private static byte[] digest(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static Result<AdminSettings> failed(String given, String allowed) {
    return Result.failed(
        Step.SETTINGS,
        Failure.LOCAL,
        "--admin-token (CHIVECROSS_ADMIN_TOKEN): got " + given + ", allowed: " + allowed);
  }
}
