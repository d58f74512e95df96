package org.chivecross.model.request;

/** How an attempt lost its connection. */
public enum ConnectionFault {
  /** The connection was refused. */
  REFUSED,
  /** The connection was not established in time. */
  CONNECT_TIMEOUT,
  /** The target closed or reset the connection. */
  CLOSED,
  /** No byte came within the first-byte time-out. */
  SILENT,
  /** What came was not valid HTTP. */
  MALFORMED
}
