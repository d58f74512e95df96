package org.chivecross.model.request;

/** Connection that an attempt must use. */
public enum ConnectionKind {
  /** Any idle connection, or a new one. */
  ANY,
  /** A connection that showed life very recently, or a new one. */
  RECENTLY_LIVE,
  /** A new connection. */
  FRESH
}
