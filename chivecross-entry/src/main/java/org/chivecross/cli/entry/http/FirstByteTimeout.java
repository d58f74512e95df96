package org.chivecross.cli.entry.http;

import org.chivecross.model.fileset.RequestClass;

/** First-byte timeout of attempts. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface FirstByteTimeout {

  /** Returns the first-byte timeout after which a connection counts as silent, in ns. */
  long firstByteTimeoutNanos(int target, RequestClass requestClass);
}
