package org.chivecross.cli.entry.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/**
 * Body subscriber that collects a response body of bounded size and fails on a larger one. Used for
 * one response; not thread-safe.
 *
 * <p>Invariant: never holds more than the maximum size.
 */
public final class BoundedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {

  private final int maxBytes;
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  private Flow.@Nullable Subscription subscription;

  /** Creates a subscriber that accepts at most {@code maxBytes}. */
  public BoundedBodySubscriber(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public CompletionStage<byte[]> getBody() {
    return body;
  }

  @Override
  public void onSubscribe(Flow.Subscription newSubscription) {
    subscription = newSubscription;
    newSubscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(List<ByteBuffer> parts) {
    for (ByteBuffer part : parts) {
      if (collected.size() + part.remaining() > maxBytes) {
        body.completeExceptionally(new IOException("answer has more than " + maxBytes + " bytes"));
        if (subscription != null) {
          subscription.cancel();
        }
        return;
      }
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      collected.writeBytes(bytes);
    }
  }

  @Override
  public void onError(Throwable cause) {
    body.completeExceptionally(cause);
  }

  @Override
  public void onComplete() {
    body.complete(collected.toByteArray());
  }
}
