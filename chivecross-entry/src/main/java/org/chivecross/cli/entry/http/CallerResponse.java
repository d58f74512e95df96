package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.jspecify.annotations.Nullable;

/**
 * The response to one request of a caller. Guarded by the lock of the exchange.
 *
 * <p>Invariant: once a byte of it was sent, it ends either with its last part or with a reset of
 * the connection, so that a caller never takes an incomplete response for a complete one. It never
 * cuts the responses before it.
 */
final class CallerResponse {

  private static final CompletionHandler<WriteResult<HttpContent, SocketAddress>> WRITTEN =
      new EmptyCompletionHandler<>();
  private static final CompletionHandler<WriteResult<HttpResponsePacket, SocketAddress>>
      ACKNOWLEDGED = new EmptyCompletionHandler<>();

  /** Bytes that are queued, before no more is read, while responses before this one are due. */
  private static final int MAX_QUEUED_BYTES = 64 * 1024;

  private final CallerConnection caller;
  private final CallerExchange exchange;
  private final RequestDialect dialect;
  private final boolean closeWhenLeaving;
  private final Deque<Part> pendingParts = new ArrayDeque<>();
  private final NIOConnection connection;
  private final HttpRequestPacket request;
  private final HttpResponsePacket packet;
  private int queuedBytes;
  private @Nullable Runnable resumeAfterFlush;
  private boolean closeAfter;
  private boolean committed;
  private boolean aborted;
  private boolean lingerBeforeClose;

  /**
   * Creates the response to the request of an exchange.
   *
   * @param leaving whether connections are closed after the responses to requests that begin now
   */
  CallerResponse(
      CallerConnection caller,
      CallerExchange exchange,
      RequestDialect dialect,
      BooleanSupplier leaving) {
    this.caller = caller;
    this.exchange = exchange;
    this.dialect = dialect;
    closeWhenLeaving = leaving.getAsBoolean();
    connection = caller.connection();
    request = exchange.request();
    packet = request.getResponse();
    closeAfter = HopHeaders.of(request.getHeaders()).contains("close");
  }

  /** Makes this response the last one of its connection. */
  void closeAfterwards() {
    closeAfter = true;
    caller.endAfterOpenExchanges();
  }

  /** Makes this response the last one of its connection although the caller is still sending. */
  void closeWhileReceiving() {
    closeAfterwards();
    lingerBeforeClose = true;
  }

  /** Prepares the head of a relayed response; it is sent with the first part. */
  void relayHead(HttpResponsePacket upstream) {
    packet.setStatus(upstream.getStatus());
    if (upstream.isCustomReasonPhraseSet()) {
      packet.setReasonPhrase(upstream.getReasonPhrase());
    }
    ResponseHeads.copyEndToEnd(upstream, packet, dialect);
    if (!upstream.isChunked() && upstream.getContentLength() >= 0) {
      packet.setContentLengthLong(upstream.getContentLength());
    } else if (callerTakesChunks()) {
      packet.setChunked(true);
    } else {
      closeAfterwards();
    }
  }

  /** Writes a part of the body, or queues it until this response may be written. */
  void write(Buffer content, boolean last) {
    pendingParts.add(new Part(content, last));
    queuedBytes += HeldResponse.heapBytes(content);
    flush();
  }

  /** Writes the last parts of the body, of which there may be none. */
  void writeLast(List<Buffer> parts) {
    int last = parts.size() - 1;
    for (int i = 0; i < last; i++) {
      write(parts.get(i), false);
    }
    write(last < 0 ? Buffers.EMPTY_BUFFER : parts.get(last), true);
  }

  /** Writes the queued parts if this response may be written; lets more be read afterwards. */
  void flush() {
    while (!pendingParts.isEmpty() && caller.mayWrite(exchange)) {
      Part part = pendingParts.remove();
      queuedBytes -= HeldResponse.heapBytes(part.content());
      writeNow(part.content(), part.last());
    }
    Runnable resume = resumeAfterFlush;
    if (resume != null && pendingParts.isEmpty()) {
      resumeAfterFlush = null;
      resume.run();
    }
    if (aborted && caller.mayWrite(exchange)) {
      closeAborted();
    }
  }

  private void writeNow(Buffer content, boolean last) {
    if (!committed) {
      committed = true;
      prepareConnection();
    }
    HttpContent part = packet.httpContentBuilder().content(content).last(last).build();
    if (last && packet.isCommitted() && !packet.isChunked() && !content.hasRemaining()) {
      endWithoutBytes();
    } else if (last && isLastOfConnection()) {
      connection.write(part, new CloseWhenWritten<>());
    } else {
      connection.write(part, WRITTEN);
    }
  }

  /** Writes a response that this entry generated itself. */
  void answer(LocalResponse answer) {
    byte[] body = answer.body();
    packet.setStatus(answer.status());
    answer.headers().forEach(packet::setHeader);
    packet.setContentType(answer.contentType());
    packet.setContentLengthLong(body.length);
    Buffer content =
        request.isHeadRequest()
            ? Buffers.EMPTY_BUFFER
            : Buffers.wrap(connection.getMemoryManager(), body);
    write(content, true);
  }

  /** Sends 100 (Continue) if the caller waits for it before it sends the body. */
  void acknowledge() {
    if (!request.requiresAcknowledgement()) {
      return;
    }
    packet.setAcknowledgement(true);
    packet.setStatus(100);
    connection.write(packet, ACKNOWLEDGED);
    packet.acknowledged();
  }

  /**
   * Returns the packets of a complete exchange to the library's pool. The response is recycled
   * first: it can't be recycled any more after its request expects content again.
   */
  void recycle() {
    if (!pendingParts.isEmpty()) {
      return;
    }
    packet.recycle();
    request.recycle();
  }

  /**
   * Ends the connection without the rest of this response, as soon as this response may be written.
   * Once a byte of it was sent, the connection is reset, so that the caller sees that it is
   * incomplete; otherwise it is closed after the responses before this one.
   */
  void abort() {
    aborted = true;
    pendingParts.clear();
    queuedBytes = 0;
    resumeAfterFlush = null;
    caller.endAfterOpenExchanges();
    if (caller.mayWrite(exchange)) {
      closeAborted();
    }
  }

  private void closeAborted() {
    if (committed) {
      reset();
    } else {
      caller.noteCloseReason(CloseReason.RESPONSE_ABORTED);
      connection.closeSilently();
    }
  }

  private void reset() {
    caller.noteCloseReason(CloseReason.RESPONSE_ABORTED);
    if (connection.getChannel() instanceof SocketChannel channel) {
      try {
        channel.setOption(java.net.StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException | UnsupportedOperationException e) {
        org.tinylog.Logger.debug(e, "can't set SO_LINGER; closing a connection without a reset");
      }
    }
    connection.terminateSilently();
  }

  /** Returns whether more bytes may be queued now; otherwise {@code resume} runs later. */
  boolean canWrite(Runnable resume) {
    if (queuedBytes > MAX_QUEUED_BYTES) {
      resumeAfterFlush = resume;
      return false;
    }
    if (!pendingParts.isEmpty() || connection.canWrite()) {
      return true;
    }
    connection.notifyCanWrite(
        new WriteHandler() {
          @Override
          public void onWritePossible() {
            resume.run();
          }

          @Override
          public void onError(Throwable cause) {
            resume.run();
          }
        });
    return false;
  }

  /** Returns whether the connection is closed after this response. */
  boolean isLastOfConnection() {
    return closeAfter || !request.getProcessingState().isKeepAlive();
  }

  /**
   * Closes the connection, if it must be closed, after a last part without bytes. The codec writes
   * nothing for such a part, so an empty write is queued behind the parts before it.
   */
  private void endWithoutBytes() {
    if (isLastOfConnection()) {
      TCPNIOTransport transport = (TCPNIOTransport) connection.getTransport();
      transport
          .getAsyncQueueIO()
          .getWriter()
          .write(connection, null, Buffers.EMPTY_BUFFER, new CloseWhenWritten<>());
    }
  }

  private boolean callerTakesChunks() {
    return request.getProtocol() == Protocol.HTTP_1_1;
  }

  private void prepareConnection() {
    // Later requests on this connection may be running already and still need it.
    boolean endsByChoice = closeWhenLeaving && caller.tryEndAfter(exchange);
    // The caller doesn't know yet that this response is the last one.
    lingerBeforeClose |= endsByChoice && !isLastOfConnection();
    closeAfter |= endsByChoice;
    if (closeAfter) {
      request.getProcessingState().setKeepAlive(false);
      packet.setHeader("Connection", "close");
    } else if (request.getProcessingState().isKeepAlive()) {
      StrictServerFilter.keepOpen(request);
    }
  }

  /** A queued part of a response. */
  private record Part(Buffer content, boolean last) {}

  /** Closes the connection after the last part was written to the socket. */
  private final class CloseWhenWritten<M>
      extends EmptyCompletionHandler<WriteResult<M, SocketAddress>> {

    @Override
    public void completed(WriteResult<M, SocketAddress> result) {
      if (lingerBeforeClose) {
        caller.linger(System.nanoTime());
      } else {
        caller.noteCloseReason(CloseReason.LAST_RESPONSE);
        connection.closeSilently();
      }
    }

    @Override
    public void failed(Throwable cause) {
      caller.noteCloseReason(CloseReason.WRITE_FAILED);
      connection.terminateSilently();
    }
  }
}
