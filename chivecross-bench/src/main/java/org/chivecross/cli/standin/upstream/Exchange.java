package org.chivecross.cli.standin.upstream;

import org.chivecross.cli.history.BodyDigest;
import org.chivecross.cli.history.StandinHeaders;
import org.chivecross.model.fileset.RequestClass;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * One request at the stand-in and what has been received of it.
 *
 * <p>The connection delivers the parts of a request one after the other; {@link #abandon} may be
 * called from another thread.
 */
final class Exchange {

  private static final String DEADLINE_HEADER = "Chivecross-Deadline-Ms";
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long DEFAULT_WORK_MICROS = 1_000;
  private static final long DEFAULT_BODY_BYTES = 256;

  private final HttpRequestPacket request;
  private final SlottedTarget target;
  private final long deadlineNanos;
  private final BodyDigest digest = new BodyDigest();
  private long receivedBytes;
  private volatile boolean abandoned;

  Exchange(HttpRequestPacket request, SlottedTarget target, long nowNanos) {
    this.request = request;
    this.target = target;
    long millis = numberHeader(DEADLINE_HEADER, -1);
    deadlineNanos = millis < 0 ? Long.MAX_VALUE : nowNanos + millis * NANOS_PER_MILLI;
  }

  HttpRequestPacket request() {
    return request;
  }

  SlottedTarget target() {
    return target;
  }

  void addBodyPart(Buffer content) {
    receivedBytes += content.remaining();
    digest.update(content.toByteBuffer());
  }

  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the digest of the request body. Call it once, after the last part of the body. */
  String receivedDigest() {
    return digest.toText();
  }

  String requestId() {
    return textHeader(StandinHeaders.REQUEST_ID);
  }

  RequestClass requestClass() {
    return switch (textHeader(StandinHeaders.REQUEST_CLASS)) {
      case "write" -> RequestClass.WRITE;
      case "upload" -> RequestClass.UPLOAD;
      default -> RequestClass.READ;
    };
  }

  String idempotencyKey() {
    return textHeader("Idempotency-Key");
  }

  long workMicros() {
    return numberHeader(StandinHeaders.WORK_MICROS, DEFAULT_WORK_MICROS);
  }

  long bodyBytes() {
    return numberHeader(StandinHeaders.BODY_BYTES, DEFAULT_BODY_BYTES);
  }

  /** Records that the caller has closed the connection and no longer waits for the response. */
  void abandon() {
    abandoned = true;
  }

  /** Returns whether the caller still waits and the deadline has not passed. */
  boolean isAwaited(long nowNanos) {
    return !abandoned && nowNanos < deadlineNanos;
  }

  private String textHeader(String name) {
    String value = request.getHeader(name);
    return value == null ? "" : value;
  }

  private long numberHeader(String name, long defaultValue) {
    String value = request.getHeader(name);
    if (value == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(value.trim());
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
