package org.chivecross.logic.engine;

import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.request.Outcome;

/** Key registry for tests that use no idempotency keys. */
enum NoKeys implements KeyRegistry {
  INSTANCE;

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
