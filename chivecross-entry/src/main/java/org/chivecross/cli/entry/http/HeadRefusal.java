package org.chivecross.cli.entry.http;

/** Thrown for a request head that is refused before anything is sent to a target. Immutable. */
final class HeadRefusal extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates a refusal with an HTTP status and a description of the fault in one line. */
  HeadRefusal(int status, String detail) {
    super(detail, null, false, false);
    this.status = status;
  }

  int status() {
    return status;
  }
}
