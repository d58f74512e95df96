package org.chivecross.cli.experiment;

import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.request.Outcome;

/**
 * Key registry that remembers nothing, for runs without idempotency keys: each claim may run.
 * Stateless.
 */
public final class NoKeys implements KeyRegistry {

  /** Creates a registry. */
  public static KeyRegistry create() {
    return new NoKeys();
  }

  @Override
  public KeyClaim claim(String key, long nowNanos) {
    return new KeyClaim.Run();
  }

  @Override
  public void finish(String key, int status, Outcome outcome, long nowNanos) {}

  @Override
  public KeyClaim query(String key, long nowNanos) {
    return new KeyClaim.Run();
  }

  @Override
  public KeyClaim cancel(String key, long nowNanos) {
    return new KeyClaim.Fenced();
  }
}
