package org.chivecross.cli.standin.upstream;

import org.chivecross.cli.history.BodyPattern;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Writes a response body in pieces of at most 64 KiB. Each piece is written after the write of the
 * previous one has completed, so that a slow reader keeps only one piece in memory. Used for one
 * response.
 */
final class BodyWriter {

  private static final int PIECE_BYTES = 64 * 1024;

  private final FilterChainContext context;
  private final HttpResponsePacket response;
  private final BodyPattern pattern;
  private final long length;
  private final Runnable onDone;
  private long position;

  BodyWriter(
      FilterChainContext context,
      HttpResponsePacket response,
      BodyPattern pattern,
      long length,
      Runnable whenDone) {
    this.context = context;
    this.response = response;
    this.pattern = pattern;
    this.length = length;
    this.onDone = whenDone;
  }

  /**
   * Writes the body from the current position up to {@code end}, then runs {@code onDone}; a failed
   * write runs it too.
   */
  void write(long end) {
    int size = (int) Math.min(PIECE_BYTES, end - position);
    boolean isLast = position + size >= length;
    MemoryManager<?> memory = context.getMemoryManager();
    HttpContent piece =
        HttpContent.builder(response)
            .content(Buffers.wrap(memory, pattern.bytes(position, size)))
            .last(isLast)
            .build();
    position += size;
    boolean isDone = isLast || position >= end;
    context.write(
        piece,
        new EmptyCompletionHandler<WriteResult>() {
          @Override
          public void completed(WriteResult result) {
            if (isDone) {
              onDone.run();
            } else {
              write(end);
            }
          }

          @Override
          public void failed(Throwable cause) {
            onDone.run();
          }
        });
  }
}
