package org.chivecross.model.peer;

/** Operation that is requested from the owner of an idempotency key. */
public enum KeyOperation {
  /** Run the request, or return the outcome of its first run. */
  RUN(0),
  /** Return the state and outcome of the key. */
  QUERY(1),
  /** Fence the key, so that a late duplicate of the request can't run. */
  CANCEL(2);

  private final int number;

  KeyOperation(int number) {
    this.number = number;
  }

  /** Returns the number on the wire. */
  public int number() {
    return number;
  }

  /** Returns the operation with a number on the wire. */
  public static KeyOperation ofNumber(int number) {
    for (KeyOperation operation : values()) {
      if (operation.number == number) {
        return operation;
      }
    }
    throw new IllegalArgumentException("unknown key operation " + number);
  }
}
