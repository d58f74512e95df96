package org.chivecross.logic.key;

import java.util.Optional;
import java.util.function.Function;
import org.chivecross.model.request.Outcome;

/**
 * Table of the idempotency keys that this incarnation owns, in bounded memory.
 *
 * <p>Invariants: within the window of its prefix, a key without a record was never run and never
 * fenced, so a claim may run it. A record is removed only if its request is proved not to have run,
 * or after its window has ended; from then on the key is never run. When the table is full, new
 * claims are refused and all records are kept. Thread-safe: each segment has its own lock.
 */
public final class KeyRecordTable implements KeyRegistry {

  private static final int SEGMENTS = 16;

  private final KeyPrefixIssuer issuer;
  private final KeyRecords[] segments = new KeyRecords[SEGMENTS];

  /**
   * Creates an empty table.
   *
   * @param issuer issuer of the prefixes that this incarnation owns
   * @param capacity maximum number of records; rounded up to a multiple of 16
   */
  public KeyRecordTable(KeyPrefixIssuer issuer, int capacity) {
    this.issuer = issuer;
    for (int i = 0; i < SEGMENTS; i++) {
      segments[i] = new KeyRecords((capacity + SEGMENTS - 1) / SEGMENTS);
    }
  }

  @Override
  public KeyClaim claim(String key, long nowNanos) {
    return ifOwned(key, nowNanos, owned -> claimOwned(owned, nowNanos));
  }

  @Override
  public void finish(String key, int status, Outcome outcome, long nowNanos) {
    KeyDigest digest = KeyDigest.of(key);
    KeyRecords records = segment(digest);
    synchronized (records) {
      int row = records.find(digest);
      if (row == KeyRecords.NOT_FOUND || !isInFlight(records.state(row))) {
        return;
      }
      if (outcome == Outcome.ANSWERED) {
        records.set(row, KeyRecords.RowState.ANSWERED, status);
      } else if (outcome == Outcome.UNKNOWN) {
        records.set(row, KeyRecords.RowState.UNKNOWN, status);
      } else if (records.state(row) == KeyRecords.RowState.IN_FLIGHT_CANCELLED) {
        records.set(row, KeyRecords.RowState.FENCED, 0);
      } else {
        records.remove(row);
      }
    }
  }

  @Override
  public KeyClaim query(String key, long nowNanos) {
    return ifOwned(key, nowNanos, owned -> queryOwned(owned, nowNanos));
  }

  @Override
  public KeyClaim cancel(String key, long nowNanos) {
    return ifOwned(key, nowNanos, owned -> cancelOwned(owned, nowNanos));
  }

  /** Removes records whose window has ended; called periodically. */
  public void expire(long nowNanos) {
    for (KeyRecords records : segments) {
      synchronized (records) {
        records.removeExpired(issuer.uptimeMillis(nowNanos));
      }
    }
  }

  /** Returns the number of records. */
  public int size() {
    int size = 0;
    for (KeyRecords records : segments) {
      synchronized (records) {
        size += records.size();
      }
    }
    return size;
  }

  /**
   * A key that this incarnation issued.
   *
   * @param digest digest of the key
   * @param endMillis end of its window, in ms since the start
   */
  private record OwnedKey(KeyDigest digest, long endMillis) {}

  private KeyClaim ifOwned(String value, long nowNanos, Function<OwnedKey, KeyClaim> use) {
    Optional<IdempotencyKey> key = IdempotencyKey.parse(value);
    if (key.isEmpty()) {
      return new KeyClaim.Malformed();
    }
    if (key.get().incarnation() != issuer.incarnation()) {
      return new KeyClaim.Foreign(key.get().incarnation());
    }
    if (!issuer.couldHaveIssued(key.get(), nowNanos)) {
      return new KeyClaim.Malformed();
    }
    return use.apply(new OwnedKey(KeyDigest.of(value), key.get().endMillis()));
  }

  private KeyClaim claimOwned(OwnedKey key, long nowNanos) {
    KeyRecords records = segment(key.digest());
    synchronized (records) {
      KeyClaim current = lookUp(records, key, nowNanos);
      if (!(current instanceof KeyClaim.Run)) {
        return current;
      }
      return addRecord(records, key, KeyRecords.RowState.IN_FLIGHT, current, nowNanos);
    }
  }

  private KeyClaim queryOwned(OwnedKey key, long nowNanos) {
    KeyRecords records = segment(key.digest());
    synchronized (records) {
      return lookUp(records, key, nowNanos);
    }
  }

  private KeyClaim cancelOwned(OwnedKey key, long nowNanos) {
    KeyRecords records = segment(key.digest());
    synchronized (records) {
      KeyClaim current = lookUp(records, key, nowNanos);
      if (current instanceof KeyClaim.InFlight) {
        int row = records.find(key.digest());
        records.set(row, KeyRecords.RowState.IN_FLIGHT_CANCELLED, 0);
      }
      if (!(current instanceof KeyClaim.Run)) {
        return current;
      }
      return addRecord(records, key, KeyRecords.RowState.FENCED, new KeyClaim.Fenced(), nowNanos);
    }
  }

  private KeyClaim addRecord(
      KeyRecords records, OwnedKey key, KeyRecords.RowState state, KeyClaim added, long nowNanos) {
    boolean isAdded =
        records.add(key.digest(), state, key.endMillis(), issuer.uptimeMillis(nowNanos));
    return isAdded ? added : new KeyClaim.TableFull();
  }

  /** Returns the state of a key; {@link KeyClaim.Run} if it has no record within its window. */
  private KeyClaim lookUp(KeyRecords records, OwnedKey key, long nowNanos) {
    int row = records.find(key.digest());
    if (row == KeyRecords.NOT_FOUND) {
      boolean inWindow = issuer.uptimeMillis(nowNanos) < key.endMillis();
      return inWindow ? new KeyClaim.Run() : new KeyClaim.OutsideWindow();
    }
    return switch (records.state(row)) {
      case ANSWERED -> new KeyClaim.Finished(records.status(row), Outcome.ANSWERED);
      case UNKNOWN -> new KeyClaim.Finished(records.status(row), Outcome.UNKNOWN);
      case FENCED -> new KeyClaim.Fenced();
      default -> new KeyClaim.InFlight();
    };
  }

  private static boolean isInFlight(KeyRecords.RowState state) {
    return state == KeyRecords.RowState.IN_FLIGHT
        || state == KeyRecords.RowState.IN_FLIGHT_CANCELLED;
  }

  private KeyRecords segment(KeyDigest digest) {
    return segments[(int) (digest.high() & (SEGMENTS - 1))];
  }
}
