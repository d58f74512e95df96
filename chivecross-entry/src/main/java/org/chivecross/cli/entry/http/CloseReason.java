package org.chivecross.cli.entry.http;

/** Why the connection of a caller was closed. */
enum CloseReason {
  /** No request was in flight for the idle time-out. */
  IDLE,
  /** A request head was incomplete for longer than the time-out of heads. */
  HEAD_OVERDUE,
  /** The caller did not close its side after a response that ended the connection early. */
  LINGER_OVER,
  /** The entry stops and no request was in flight. */
  STOP,
  /** The planned stop of the entry is over while requests were in flight. */
  STOP_OVER,
  /** A complete response ended the connection. */
  LAST_RESPONSE,
  /** A response could not be completed after its first bytes were sent. */
  RESPONSE_ABORTED,
  /** Bytes could not be sent to the caller. */
  WRITE_FAILED,
  /** The caller closed or reset the connection. */
  CALLER,
  /** The HTTP library closed the connection, for example after an exception. */
  LIBRARY
}
