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
 * Writes the body of an answer piece by piece; the next piece is written when the one before has
 * left, so that a slow reader holds one piece in memory. Confined to one answer.
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

  /** Writes up to {@code end} of the body and then runs the final action. */
  void write(long end) {
    int size = (int) Math.min(PIECE_BYTES, end - position);
    boolean last = position + size >= length;
    MemoryManager<?> memory = context.getMemoryManager();
    HttpContent piece =
        HttpContent.builder(response)
            .content(Buffers.wrap(memory, pattern.bytes(position, size)))
            .last(last)
            .build();
    position += size;
    boolean stop = last || position >= end;
    context.write(
        piece,
        new EmptyCompletionHandler<WriteResult>() {
          @Override
          public void completed(WriteResult result) {
            if (stop) {
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
