package org.chivecross.model.request;

/** Outcome of a request that an entry reports to the caller instead of relaying an answer. */
public enum Outcome {
  /**
   * The request provably did not run: no byte of it reached an upstream, or the upstream reported
   * that it did not run it.
   */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown"),
  /** The deadline passed before any byte of the request was sent. */
  EXPIRED("expired"),
  /** The request ran: an upstream answered the first request with the same key without an error. */
  ANSWERED("answered");

  private final String headerValue;

  Outcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the {@code Chivecross-Outcome} header. */
  public String headerValue() {
    return headerValue;
  }
}
