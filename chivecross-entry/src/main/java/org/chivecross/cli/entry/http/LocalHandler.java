package org.chivecross.cli.entry.http;

import java.util.function.Consumer;

/**
 * Answers requests of one path on the port for callers. Called on a selector thread: it must not
 * block, and may answer later from any thread, exactly once.
 */
@FunctionalInterface
public interface LocalHandler {

  /** Starts to answer a request. */
  void handle(LocalRequest request, Consumer<LocalResponse> responder);
}
