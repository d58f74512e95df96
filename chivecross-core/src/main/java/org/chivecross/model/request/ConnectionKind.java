package org.chivecross.model.request;

/** Kind of connection that an attempt must use. */
public enum ConnectionKind {
  /** Any idle connection, or a new one. */
  ANY,
  /** A connection that was verified to be alive very recently, or a new one. */
  RECENTLY_LIVE,
  /** A new connection. */
  FRESH
}
