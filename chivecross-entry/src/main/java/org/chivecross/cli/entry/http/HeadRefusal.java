package org.chivecross.cli.entry.http;

/**
 * Thrown for the head of a request that is refused before anything is sent to a target, or of a
 * response of which nothing is relayed. Immutable.
 */
final class HeadRefusal extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private static final int BAD_REQUEST = 400;

  private final int status;

  /** Creates a refusal with an HTTP status and a description of the fault in one line. */
  HeadRefusal(int status, String detail) {
    super(detail, null, false, false);
    this.status = status;
  }

  /** Returns the refusal of a head that is not valid HTTP/1.1. */
  static HeadRefusal malformed(String detail) {
    return new HeadRefusal(BAD_REQUEST, detail);
  }

  /** Returns the status that the sender of a request gets. */
  int status() {
    return status;
  }
}
