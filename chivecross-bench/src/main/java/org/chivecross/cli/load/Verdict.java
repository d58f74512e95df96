package org.chivecross.cli.load;

/** Outcome of a request, as far as its caller can determine it. */
enum Verdict {
  /** The caller received the complete answer of a target. */
  ANSWERED,
  /** The entry reported that no target ran the request, or no connection could be opened. */
  NOT_RUN,
  /** A target may have run the request. */
  UNKNOWN,
  /** The request's deadline passed before the entry sent it to a target. */
  EXPIRED
}
