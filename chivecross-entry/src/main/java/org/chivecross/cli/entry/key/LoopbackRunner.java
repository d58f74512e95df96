package org.chivecross.cli.entry.key;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivecross.cli.entry.platform.BoundedBodySubscriber;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs forwarded requests by sending them to this entry's own port for callers, so that routing,
 * admission control, key lookup and deadline apply to them as to all others. Thread-safe.
 */
public final class LoopbackRunner implements KeyCallRunner {

  private static final String RESTRICTED_HEADERS_PROPERTY = "jdk.httpclient.allowRestrictedHeaders";
  private static final String DEADLINE_HEADER = "Chivecross-Deadline-Ms";

  /** Headers that the HTTP client sets itself. */
  private static final Set<String> HEADERS_SET_BY_CLIENT =
      Set.of("content-length", "transfer-encoding", "connection", "expect", "upgrade", "te");

  private final Supplier<Optional<InetSocketAddress>> callerAddress;
  private final HttpClient client;

  /**
   * Creates a runner.
   *
   * @param callerAddress address at which this entry serves callers; empty before it serves any
   */
  public LoopbackRunner(Supplier<Optional<InetSocketAddress>> callerAddress) {
    this.callerAddress = callerAddress;
    // Forwarded requests keep their Host header, since routing depends on it.
    System.setProperty(RESTRICTED_HEADERS_PROPERTY, "host");
    client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  @Override
  public void run(KeyCall call, long remainingMillis, Consumer<KeyAnswer> answer) {
    Optional<InetSocketAddress> own = callerAddress.get();
    if (own.isEmpty()) {
      answer.accept(
          KeyAnswerConverter.toPeer(KeyStateResponses.unknown("the owner doesn't serve callers")));
      return;
    }
    try {
      client
          .sendAsync(
              request(call, own.get(), remainingMillis),
              info -> new BoundedBodySubscriber(KeyCall.MAX_BODY_BYTES))
          .whenComplete((response, error) -> answer.accept(toKeyAnswer(response, error)));
    } catch (IllegalArgumentException e) {
      Logger.error(
          "step={} peer=local forwarded request is invalid and was not sent: {}",
          Step.KEY_LOOKUP,
          e);
      answer.accept(
          KeyAnswerConverter.toPeer(KeyStateResponses.unknown(String.valueOf(e.getMessage()))));
    }
  }

  private static HttpRequest request(KeyCall call, InetSocketAddress own, long remainingMillis) {
    String host = own.getAddress().isAnyLocalAddress() ? "127.0.0.1" : own.getHostString();
    URI uri = URI.create("http://" + host + ":" + own.getPort() + call.target());
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .method(call.method(), HttpRequest.BodyPublishers.ofByteArray(call.body()))
            .timeout(Duration.ofMillis(Math.max(1, remainingMillis)));
    for (HeaderField field : call.headers()) {
      String name = field.name().toLowerCase(Locale.ROOT);
      if (!HEADERS_SET_BY_CLIENT.contains(name) && !name.equalsIgnoreCase(DEADLINE_HEADER)) {
        request.header(field.name(), field.value());
      }
    }
    return request.header(DEADLINE_HEADER, Long.toString(remainingMillis)).build();
  }

  private static KeyAnswer toKeyAnswer(
      @Nullable HttpResponse<byte[]> response, @Nullable Throwable error) {
    if (response == null) {
      return KeyAnswerConverter.toPeer(
          KeyStateResponses.unknown("the owner got no answer: " + error));
    }
    List<HeaderField> fields = new ArrayList<>();
    response
        .headers()
        .map()
        .forEach(
            (name, values) -> {
              if (!HEADERS_SET_BY_CLIENT.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
              }
            });
    return new KeyAnswer(response.statusCode(), fields, response.body());
  }
}
