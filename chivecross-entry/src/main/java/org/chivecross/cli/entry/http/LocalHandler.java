package org.chivecross.cli.entry.http;

import java.util.function.Consumer;

/**
 * Answers requests for one path that this entry serves itself. Called on a selector thread: it must
 * not block. It calls the responder exactly once, before returning or later, on any thread.
 */
@FunctionalInterface
public interface LocalHandler {

  /** Starts to answer a request. */
  void handle(LocalRequest request, Consumer<LocalResponse> responder);
}
