package org.chivecross.model.request;

/** Reason why the connection of an attempt failed. */
public enum ConnectionFault {
  /** The connection was refused. */
  REFUSED,
  /** This entry already has as many connections as it may have. */
  LIMITED,
  /** The connection was not established in time, or the target can't be reached. */
  CONNECT_TIMEOUT,
  /**
   * This entry could not open or keep the connection for a reason of its own, such as its end or a
   * lack of descriptors. Says nothing about the target.
   */
  LOCAL,
  /** The target closed or reset the connection. */
  CLOSED,
  /** No byte arrived within the first-byte timeout. */
  SILENT,
  /** The received bytes were not valid HTTP. */
  MALFORMED
}
