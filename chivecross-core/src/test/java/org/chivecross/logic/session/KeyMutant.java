package org.chivecross.logic.session;

import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.request.Outcome;

/** A key registry that takes one kind of claim for {@link KeyClaim.Run}, as a planted fault. */
class KeyMutant implements KeyRegistry {

  private final KeyRegistry inner;
  private final Class<? extends KeyClaim> mistaken;

  KeyMutant(KeyRegistry inner, Class<? extends KeyClaim> mistaken) {
    this.inner = inner;
    this.mistaken = mistaken;
  }

  @Override
  public KeyClaim claim(String key, long nowNanos) {
    KeyClaim claim = inner.claim(key, nowNanos);
    return mistaken.isInstance(claim) ? new KeyClaim.Run() : claim;
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
