package org.chivecross.cli.entry.http;

import org.chivecross.model.fileset.RequestClass;

/** Tells when a connection counts as silent. Implementations are safe for use by many threads. */
@FunctionalInterface
public interface SilenceThreshold {

  /** Returns the wait for a first byte after which a connection counts as silent, in ns. */
  long silenceNanos(int target, RequestClass requestClass);
}
