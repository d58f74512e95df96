package org.chivecross.cli.entry.http;

import java.util.List;
import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.peer.KeyCall;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
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
  private final BufferAccount account;
  private final ReadAhead readAhead;
  private @Nullable Attempt sink;
  private @Nullable FilterChainContext suspendedReader;
  private boolean discarding;
  private long counted;
  private long admittedBytes = -1;

  private BodyFlow(Object lock, RequestBody body, CallerConnection caller) {
    this.lock = lock;
    this.body = body;
    account = caller.buffers();
    readAhead = caller.readAhead();
  }

  /** Creates the flow of the body of a request of which nothing has arrived. */
  static BodyFlow of(
      Object lock, HttpRequestPacket request, CallerConnection caller, ExchangeServices services) {
    boolean keyed = RequestHeads.idempotencyKey(request).isPresent();
    int configured = services.settings().retainedBodyBytes();
    int retained = keyed ? KeyCall.MAX_BODY_BYTES : services.budget().retainLimit(configured);
    return new BodyFlow(lock, new RequestBody(retained), caller);
  }

  /**
   * Decides whether there is memory for this body, and reserves it. A body without an announced
   * length is admitted part by part.
   */
  boolean tryAdmit(long announcedBytes) {
    long size = Math.max(counted, Math.min(announcedBytes, body.retainLimitBytes()));
    if (size <= admittedBytes) {
      return true;
    }
    if (!account.budget().tryAdmit(size, size - counted)) {
      return false;
    }
    admittedBytes = size;
    account.hold(size - counted);
    counted = size;
    return true;
  }

  private void countRetained() {
    long more = body.retainedBytes() - counted;
    if (more > 0) {
      counted += more;
      account.hold(more);
    }
  }

  private void releaseCounted() {
    account.hold(-counted);
    counted = 0;
  }

  long receivedBytes() {
    return body.receivedBytes();
  }

  /** Returns whether this is a body, of which a part has arrived, of a request that uploads. */
  boolean isUpload(Optional<Route> route) {
    boolean isUpload = route.filter(r -> r.requestClass() == RequestClass.UPLOAD).isPresent();
    return isUpload && receivedBytes() > 0;
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
    if (discarding) {
      return true;
    }
    if (body.retain(content, last)) {
      countRetained();
      return body.isComplete() || !body.isReadyToSend();
    }
    Attempt target = sink;
    if (target == null) {
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
    List<Buffer> parts = body.retainedParts();
    boolean complete = body.isComplete();
    // The parts of a streamed body are no longer counted here, but in the queue of the attempt.
    attempt.share(complete ? counted : 0);
    if (!complete) {
      body.startStreaming();
      releaseCounted();
      sink = attempt;
    }
    int before = Math.max(0, parts.size() - 1);
    parts.subList(0, before).forEach(part -> attempt.write(part, false));
    attempt.write(parts.isEmpty() ? Buffers.EMPTY_BUFFER : parts.get(before), complete);
    if (!complete && attempt.canWrite(this::resume)) {
      resume();
    }
    return !complete;
  }

  /** Returns what was received and is still kept. */
  List<Buffer> retainedParts() {
    return body.retainedParts();
  }

  /** Returns a copy of a body that is complete and was kept completely. */
  byte[] wholeBytes() {
    byte[] bytes = new byte[body.retainedBytes()];
    int at = 0;
    for (Buffer part : retainedParts()) {
      int length = part.remaining();
      part.get(bytes, at, length);
      at += length;
    }
    return bytes;
  }

  /** Suspends a reader while its bytes can't be sent on; returns whether it was suspended. */
  boolean suspendReader(FilterChainContext context) {
    if (discarding || !isCongested()) {
      return false;
    }
    readAhead.suspended();
    context.suspend();
    suspendedReader = context;
    return true;
  }

  /** Drops the rest of the body and resumes a suspended reader. */
  void discard() {
    discarding = true;
    body.dropRetained();
    releaseCounted();
    resume();
  }

  /** Resumes a suspended reader. */
  void resume() {
    FilterChainContext reader;
    synchronized (lock) {
      reader = suspendedReader;
      suspendedReader = null;
    }
    if (reader != null) {
      reader.resume(reader.getStopAction());
      readAhead.resumed();
    }
  }

  private boolean isCongested() {
    Attempt target = sink;
    return target == null ? body.isReadyToSend() : !target.canWrite(this::resume);
  }
}
