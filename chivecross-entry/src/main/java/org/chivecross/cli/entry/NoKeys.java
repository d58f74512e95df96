package org.chivecross.cli.entry;

import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.model.request.Outcome;

/** Registry of an entry that keeps no records: it refuses requests with a key. Stateless. */
final class NoKeys implements KeyRegistry {

  @Override
  public KeyClaim claim(String key, long nowNanos) {
    return new KeyClaim.TableFull();
  }

  @Override
  public void finish(String key, int status, Outcome outcome, long nowNanos) {}

  @Override
  public KeyClaim query(String key, long nowNanos) {
    return new KeyClaim.OutsideWindow();
  }

  @Override
  public KeyClaim cancel(String key, long nowNanos) {
    return new KeyClaim.OutsideWindow();
  }
}
