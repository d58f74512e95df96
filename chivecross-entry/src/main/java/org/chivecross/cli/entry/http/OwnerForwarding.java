package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;
import org.chivecross.model.request.Outcome;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Forwards requests to the entries that own their idempotency keys. Stateless. */
final class OwnerForwarding {

  private static final int CONTENT_TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private OwnerForwarding() {}

  /** Builds the call that runs a request at the entry that owns its key. */
  static KeyCall toCall(HttpRequestPacket request, byte[] body) {
    String key = RequestHeads.idempotencyKey(request).orElse("");
    MimeHeaders headers = request.getHeaders();
    Set<String> hop = HopHeaders.of(headers);
    List<HeaderField> fields = new ArrayList<>();
    for (int i = 0; i < headers.size(); i++) {
      String name = HeaderText.of(headers.getName(i));
      if (!hop.contains(name)) {
        fields.add(new HeaderField(name, HeaderText.of(headers.getValue(i))));
      }
    }
    String query = request.getQueryString();
    String target = request.getRequestURI() + (query == null ? "" : "?" + query);
    return new KeyCall(
        KeyOperation.RUN, key, HeaderText.of(request.getMethodDC()), target, fields, body);
  }

  /**
   * Returns the response for the caller. The outcome is unknown if the owner can't be reached,
   * since it may have run an earlier copy of the request.
   */
  static LocalResponse toAnswer(Result<KeyAnswer> result, long incarnation) {
    if (result instanceof Result.Success<KeyAnswer> success) {
      return relayed(success.value());
    }
    Failure cause = ((Result.Failed<KeyAnswer>) result).failures().get(0);
    Failure failure = new Failure(Step.KEY_LOOKUP, peer(incarnation), cause.toString());
    return ProblemAnswers.of(
        UNAVAILABLE, Outcome.UNKNOWN, failure, OptionalLong.of(RETRY_AFTER_MILLIS));
  }

  /**
   * Returns the response to a request whose body is too long to be forwarded. Its outcome is
   * unknown, since the owner may have run an earlier copy of the request.
   */
  static LocalResponse bodyTooLong(long incarnation) {
    Failure failure =
        new Failure(Step.KEY_LOOKUP, peer(incarnation), "body is too long to be passed");
    return ProblemAnswers.of(CONTENT_TOO_LARGE, Outcome.UNKNOWN, failure, OptionalLong.empty());
  }

  private static String peer(long incarnation) {
    return "entry " + Long.toHexString(incarnation);
  }

  private static LocalResponse relayed(KeyAnswer answer) {
    Map<String, String> headers = new LinkedHashMap<>();
    String contentType = "application/octet-stream";
    for (HeaderField field : answer.headers()) {
      String name = field.name().toLowerCase(java.util.Locale.ROOT);
      if (name.equals("content-type")) {
        contentType = field.value();
      } else if (!HopHeaders.HOP_BY_HOP.contains(name)) {
        headers.merge(field.name(), field.value(), (one, other) -> one + ", " + other);
      }
    }
    return new LocalResponse(answer.status(), headers, contentType, answer.body());
  }

  /**
   * Sends a request to the owner of its key, unless its body is too long.
   *
   * @param remainingMillis time left for the response, in ms
   * @param handler receives the response for the caller and its outcome
   */
  static void send(
      OwnerCalls owners,
      long incarnation,
      HttpRequestPacket request,
      BodyFlow body,
      long remainingMillis,
      BiConsumer<LocalResponse, Outcome> handler) {
    if (!body.isComplete()) {
      handler.accept(bodyTooLong(incarnation), Outcome.UNKNOWN);
      return;
    }
    owners.call(
        incarnation,
        toCall(request, body.wholeBytes()),
        remainingMillis,
        result -> {
          LocalResponse answer =
              toAnswer(ParsedResponseHeads.checkOwnerAnswer(result), incarnation);
          boolean isAnswered = answer.headers().get("Chivecross-Outcome") == null;
          handler.accept(answer, isAnswered ? Outcome.ANSWERED : Outcome.UNKNOWN);
        });
  }
}
