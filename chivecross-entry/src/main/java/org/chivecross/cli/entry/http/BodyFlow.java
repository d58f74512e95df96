package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.memory.MemoryManager;
import org.jspecify.annotations.Nullable;

/**
 * Transfers the body of a request from the caller's connection to attempts.
 *
 * <p>A body within the limit is kept completely and can be sent to several attempts. A longer one
 * is streamed to a single attempt, and the caller's connection is not read while that attempt's
 * connection is congested. Guarded by the lock of the exchange, except {@link #resume}, which takes
 * it.
 */
final class BodyFlow {

  private final Object lock;
  private final RequestBody body;
  private final MemoryManager<?> memory;
  private final CallerReader reader;
  private @Nullable Attempt sink;
  private @Nullable FilterChainContext suspendedReader;
  private boolean discarding;

  BodyFlow(Object lock, RequestBody body, CallerConnection caller) {
    this.lock = lock;
    this.body = body;
    memory = caller.connection().getMemoryManager();
    reader = caller.reader();
  }

  long receivedBytes() {
    return body.receivedBytes();
  }

  /** Returns whether a byte of an upload has arrived. */
  boolean isUploadBegun(Optional<Route> route) {
    return receivedBytes() > 0
        && route.filter(found -> found.requestClass() == RequestClass.UPLOAD).isPresent();
  }

  boolean isComplete() {
    return body.isComplete();
  }

  /** Returns whether the body is complete or too long to keep. */
  boolean isReadyToSend() {
    return body.isReadyToSend();
  }

  /** Handles a part of the body; returns whether more may be read now. */
  boolean receive(Buffer content, boolean last) {
    if (body.retain(content, last)) {
      return body.isComplete() || !body.isReadyToSend();
    }
    Attempt target = sink;
    if (target == null || discarding) {
      return true;
    }
    target.write(content, last);
    return last || target.canWrite(this::resume);
  }

  /** Returns whether this body can be sent to another attempt. */
  boolean isReplayable() {
    return !body.isStreaming();
  }

  /**
   * Sends what was received to an attempt.
   *
   * @return whether the body can no longer be sent to another attempt
   */
  boolean sendTo(Attempt attempt) {
    Buffer content = retainedContent();
    boolean complete = body.isComplete();
    if (!complete) {
      body.startStreaming();
      sink = attempt;
    }
    attempt.write(content, complete);
    if (!complete && attempt.canWrite(this::resume)) {
      resume();
    }
    return !complete;
  }

  /** Returns what was received and is still kept. */
  Buffer retainedContent() {
    return body.retainedContent(memory);
  }

  /** Returns a copy of a body that is complete and was kept completely. */
  byte[] wholeBytes() {
    Buffer content = retainedContent();
    byte[] bytes = new byte[content.remaining()];
    content.get(bytes);
    return bytes;
  }

  /** Suspends a reader while its bytes can't be sent on; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context) {
    if (discarding || !isCongested()) {
      return false;
    }
    reader.suspend(context);
    suspendedReader = context;
    return true;
  }

  /** Drops the rest of the body and resumes a suspended reader. */
  void discard() {
    discarding = true;
    resume();
  }

  /** Resumes a suspended reader. */
  void resume() {
    FilterChainContext suspended;
    synchronized (lock) {
      suspended = suspendedReader;
      suspendedReader = null;
    }
    if (suspended != null) {
      reader.resume(() -> suspended.resume(suspended.getStopAction()));
    }
  }

  private boolean isCongested() {
    Attempt target = sink;
    return target == null ? body.isReadyToSend() : !target.canWrite(this::resume);
  }
}
