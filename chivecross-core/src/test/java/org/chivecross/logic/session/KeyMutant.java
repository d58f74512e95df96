package org.chivecross.logic.session;

import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.request.Outcome;

/** Key registry with an injected fault: it replaces one kind of claim by {@link KeyClaim.Run}. */
class KeyMutant implements KeyRegistry {

  private final KeyRegistry inner;
  private final Class<? extends KeyClaim> replacedClaim;

  KeyMutant(KeyRegistry inner, Class<? extends KeyClaim> mistaken) {
    this.inner = inner;
    this.replacedClaim = mistaken;
  }

  @Override
  public KeyClaim claim(String key, long nowNanos) {
    KeyClaim claim = inner.claim(key, nowNanos);
    return replacedClaim.isInstance(claim) ? new KeyClaim.Run() : claim;
  }

  @Override
  public void finish(String key, int status, Outcome outcome, long nowNanos) {
    inner.finish(key, status, outcome, nowNanos);
  }

  @Override
  public KeyClaim query(String key, long nowNanos) {
    return inner.query(key, nowNanos);
  }

  @Override
  public KeyClaim cancel(String key, long nowNanos) {
    return inner.cancel(key, nowNanos);
  }
}
