package org.chivecross.cli.load;

/** What became of a request, as its caller learned it. */
enum Verdict {
  /** The whole answer of a target came. */
  ANSWERED,
  /** The entry, or the refused connection, proved that it did not run. */
  NOT_RUN,
  /** It may have run. */
  UNKNOWN,
  /** Its time was used up before it was sent. */
  EXPIRED
}
