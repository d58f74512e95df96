package org.chivecross.cli.entry.http;

/** A request head that is refused before anything is sent. Immutable. */
final class HeadRefusal extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates a refusal with an HTTP status and one line that says what is wrong. */
  HeadRefusal(int status, String detail) {
    super(detail, null, false, false);
    this.status = status;
  }

  int status() {
    return status;
  }
}
