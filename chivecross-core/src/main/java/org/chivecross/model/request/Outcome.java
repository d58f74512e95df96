package org.chivecross.model.request;

/** What an entry tells a caller about a request whose answer it doesn't relay. */
public enum Outcome {
  /** Proved: no byte of it reached an upstream, or the upstream said that it did not run it. */
  NOT_RUN("not-run"),
  /** It may have run. */
  UNKNOWN("unknown"),
  /** Its deadline passed before any byte of it was sent. */
  EXPIRED("expired"),
  /** It ran: an upstream answered the first request with the same key, and not by an error. */
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
