package org.chivecross.model.request;

/** Reason why the connection of an attempt failed. */
public enum ConnectionFault {
  /** The connection was refused. */
  REFUSED,
  /** The connection was not established in time. */
  CONNECT_TIMEOUT,
  /** The target closed or reset the connection. */
  CLOSED,
  /** No byte arrived within the first-byte timeout. */
  SILENT,
  /** The received bytes were not valid HTTP. */
  MALFORMED
}
