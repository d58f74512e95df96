package org.chivecross.cli.entry.http;

import org.chivecross.model.fileset.RequestClass;

/** The threshold for silent connections. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface SilenceThreshold {

  /** Returns the time without a first byte after which a connection counts as silent, in ns. */
  long silenceNanos(int target, RequestClass requestClass);
}
