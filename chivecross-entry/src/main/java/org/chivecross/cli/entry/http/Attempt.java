package org.chivecross.cli.entry.http;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of an exchange to get a response from a target.
 *
 * <p>Guarded by the lock of the exchange. All callers except selector threads hold the lock; the
 * methods that selector threads call take it. Invariant: {@code over} is set once; from then on,
 * nothing that arrives on the connection reaches the exchange.
 */
final class Attempt implements UpstreamUser, UpstreamClient.AcquireHandler {

  private final Exchange exchange;
  private final Decision.Send decision;
  private final long startedNanos;
  private final HeldResponse held;
  private @Nullable UpstreamConnection upstream;
  private @Nullable HttpRequestPacket packet;
  private @Nullable FilterChainContext suspendedReader;
  private boolean requestComplete;

  /** Set by any thread once the last byte of the request was written to the socket. */
  private volatile boolean requestWritten;

  private boolean headReceived;
  private boolean reusableAfterwards;
  private boolean suspect;
  private long sentNanos;
  private @Nullable Object peerAddress;
  private boolean decided;
  private boolean over;

  Attempt(Exchange exchange, Decision.Send decision, int heldBytes, long startedNanos) {
    held = new HeldResponse(heldBytes);
    this.startedNanos = startedNanos;
    this.exchange = exchange;
    this.decision = decision;
  }

  int number() {
    return decision.attempt();
  }

  int target() {
    return decision.target();
  }

  Decision.Send decision() {
    return decision;
  }

  /** Returns the monotonic time at which the head was written; 0 before that. */
  long sentNanos() {
    return sentNanos;
  }

  /**
   * Returns the monotonic time at which the wait for a connection ends; {@code Long.MAX_VALUE} if
   * the attempt is not waiting for one.
   */
  long connectDeadlineNanos(long timeoutNanos) {
    return over || packet != null ? Long.MAX_VALUE : startedNanos + timeoutNanos;
  }

  /**
   * Marks the connection as suspect if no response head has arrived within {@code
   * firstByteTimeoutNanos} of sending.
   *
   * @return whether it was marked by this call
   */
  boolean markSuspectIfFirstByteOverdue(long firstByteTimeoutNanos, long nowNanos) {
    if (suspect
        || over
        || headReceived
        || packet == null
        || nowNanos - sentNanos < firstByteTimeoutNanos) {
      return false;
    }
    suspect = true;
    return true;
  }

  boolean isOver() {
    return over;
  }

  /** Returns whether a byte of the request may have been sent. */
  boolean isSent() {
    return packet != null;
  }

  /** Returns whether the request was sent to an address. */
  boolean isSentTo(InetSocketAddress address) {
    return address.equals(peerAddress);
  }

  boolean headReceived() {
    return headReceived;
  }

  /**
   * Marks that the head of a response arrived.
   *
   * @param copyRecognisable whether the connection may be used again after the response
   */
  void markHeadReceived(boolean copyRecognisable) {
    headReceived = true;
    reusableAfterwards = copyRecognisable;
  }

  /** Binds the connection on which the request will be sent and prepares its head. */
  void bind(
      UpstreamConnection connection,
      HttpRequestPacket request,
      Connection<?> caller,
      DataPathPorts ports,
      int earlierAttempts,
      long nowNanos) {
    Optional<String> identity = ports.addresses().identity(target());
    long remaining = TimeUnit.NANOSECONDS.toMillis(decision.deadlineNanos() - nowNanos);
    // A new packet for each attempt: reused ones lost about one answer in a thousand.
    HttpRequestPacket head = HttpRequestPacket.builder().uri("/").build();
    RequestHeads.fill(head, request, caller, Math.max(1, remaining), identity, ports.dialect());
    ports.addresses().addedHeaders(target(), earlierAttempts).forEach(head::setHeader);
    upstream = connection;
    peerAddress = connection.connection().getPeerAddress();
    packet = head;
    sentNanos = nowNanos;
    connection.setUser(this);
  }

  /** Writes a part of the request; the head is sent with the first part. */
  void write(Buffer content, boolean last) {
    if (upstream == null || packet == null || over) {
      return;
    }
    if (last) {
      requestComplete = true;
    }
    HttpContent part = packet.httpContentBuilder().content(content).last(last).build();
    upstream.connection().write(part, new PartWritten(last));
  }

  /** Returns whether more of a body may be queued now; otherwise {@code resume} runs later. */
  boolean canWrite(Runnable resume) {
    if (upstream == null || over) {
      return true;
    }
    if (upstream.connection().canWrite()) {
      return true;
    }
    upstream.connection().notifyCanWrite(new ResumeOnWrite(resume));
    return false;
  }

  /** Marks that the machine was asked about the response; returns true for the first call. */
  boolean markDecided() {
    boolean first = !decided;
    decided = true;
    return first;
  }

  /** Returns the parts of the response that are not relayed yet. */
  HeldResponse held() {
    return held;
  }

  @Override
  public void acquired(UpstreamConnection connection) {
    exchange.acquired(this, connection);
  }

  @Override
  public boolean received(HttpContent content) {
    HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
    if (content.isLast() && HeldResponse.isUntilClose(head)) {
      // The library reports a last part for a reset as well as for an orderly close; closed()
      // distinguishes them.
      return true;
    }
    return exchange.responseContent(this, content);
  }

  @Override
  public boolean awaitsEndOfStream() {
    return held.untilClose() != null;
  }

  @Override
  public void closed(boolean orderly) {
    HttpResponsePacket head = held.untilClose();
    // A target that closes before it has read the whole request resets the connection, which may
    // look orderly here: the end of the stream is sent before the reset, or a write meets the reset
    // and the next read finds the end.
    if (orderly && requestWritten && head != null) {
      // The body of such a response ends with an orderly close of the connection.
      exchange.responseContent(
          this, head.httpContentBuilder().content(Buffers.EMPTY_BUFFER).last(true).build());
    } else {
      failed(ConnectionFault.CLOSED);
    }
  }

  @Override
  public void failed(ConnectionFault fault) {
    exchange.attemptFailed(this, fault);
  }

  @Override
  public void failedUnexpectedly() {
    exchange.failedUnexpectedly();
  }

  /**
   * Suspends reading the response, unless the caller has become writable in the meantime.
   *
   * @return whether it was suspended
   */
  @Override
  public boolean suspendReader(FilterChainContext context) {
    synchronized (exchange.lock()) {
      if (over || !exchange.isCallerCongested()) {
        return false;
      }
      context.suspend();
      suspendedReader = context;
      return true;
    }
  }

  /** Takes the suspended reader, if any; it must be resumed without the lock. */
  @Nullable FilterChainContext takeSuspendedReader() {
    FilterChainContext context = suspendedReader;
    suspendedReader = null;
    return context;
  }

  /**
   * Ends the attempt after its complete response. The connection returns to the pool, or is closed
   * if it can't be reused.
   */
  void responseEnded(HttpResponsePacket head) {
    over = true;
    UpstreamConnection connection = upstream;
    upstream = null;
    if (connection == null) {
      return;
    }
    boolean reusable =
        reusableAfterwards && head.getProcessingState().isKeepAlive() && requestComplete;
    if (!reusable || SurplusAwareEncoding.isMarked(head)) {
      connection.close();
      return;
    }
    connection.noteKeepAlive(head, System.nanoTime());
    connection.setUser(null);
    connection.pool().release(connection);
  }

  /** Handles a part of a response that is not relayed. */
  void discardResponsePart(HttpResponsePacket head, boolean last) {
    if (over) {
      return;
    }
    if (last) {
      responseEnded(head);
    } else {
      abandon();
    }
  }

  /** Ends the attempt and closes its connection, so that no late response reaches another user. */
  void abandon() {
    if (over) {
      return;
    }
    over = true;
    FilterChainContext reader = takeSuspendedReader();
    if (upstream != null) {
      upstream.close();
    }
    if (reader != null) {
      reader.completeAndRecycle();
    }
  }

  /**
   * Notes that the last part was written. Closes the connection when a write fails; the close then
   * ends the attempt.
   */
  private final class PartWritten
      extends EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>> {

    private final boolean last;

    PartWritten(boolean last) {
      this.last = last;
    }

    @Override
    public void completed(WriteResult<HttpContent, SocketAddress> result) {
      if (last) {
        requestWritten = true;
      }
    }

    @Override
    public void failed(Throwable cause) {
      UpstreamConnection connection = upstream;
      if (connection != null) {
        connection.connection().terminateSilently();
      }
    }
  }

  /** Runs an action when the connection is writable again. */
  private record ResumeOnWrite(Runnable action) implements WriteHandler {

    @Override
    public void onWritePossible() {
      action.run();
    }

    @Override
    public void onError(Throwable cause) {
      action.run();
    }
  }
}
