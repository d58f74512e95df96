package org.chivecross.cli.entry.key;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chivecross.cli.entry.http.LocalHandler;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.cli.entry.http.ParsedResponseHeads;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.model.failure.Result;
import org.chivecross.model.peer.KeyAnswer;
import org.chivecross.model.peer.KeyCall;
import org.chivecross.model.peer.KeyOperation;

/**
 * Handles {@code GET /chivecross/outcome?key=KEY}, which reports the state of an idempotency key,
 * and {@code DELETE}, which cancels the key. Requests for keys of other entries are forwarded to
 * the owner. Thread-safe.
 */
public final class OutcomeHandler implements LocalHandler {

  /** Path of the handler. */
  public static final String PATH = "/chivecross/outcome";

  private static final int METHOD_NOT_ALLOWED = 405;
  private static final long OWNER_TIMEOUT_MILLIS = 1_000;

  private final KeyRegistry keys;
  private final OwnerCalls ownerCalls;
  private final LongSupplier clock;

  /**
   * Creates a handler.
   *
   * @param keys keys that this entry owns
   * @param ownerCalls forwards calls to the entries that own other keys
   * @param clock monotonic time in ns
   */
  public OutcomeHandler(KeyRegistry keys, OwnerCalls ownerCalls, LongSupplier clock) {
    this.keys = keys;
    this.ownerCalls = ownerCalls;
    this.clock = clock;
  }

  @Override
  public void handle(LocalRequest request, Consumer<LocalResponse> responder) {
    boolean cancel = request.method().equals("DELETE");
    if (!cancel && !request.method().equals("GET")) {
      responder.accept(
          LocalResponse.text(
              METHOD_NOT_ALLOWED,
              Map.of("Allow", "GET, DELETE"),
              "application/json",
              "{\"error\":\"only GET and DELETE\"}\n"));
      return;
    }
    String key = request.query().getOrDefault("key", "");
    KeyClaim claim =
        cancel ? keys.cancel(key, clock.getAsLong()) : keys.query(key, clock.getAsLong());
    if (!(claim instanceof KeyClaim.Foreign foreign)) {
      responder.accept(KeyStateResponses.of(claim));
      return;
    }
    KeyOperation operation = cancel ? KeyOperation.CANCEL : KeyOperation.QUERY;
    KeyCall call = new KeyCall(operation, key, "", "", List.of(), new byte[0]);
    ownerCalls.call(
        foreign.ownerIncarnation(),
        call,
        OWNER_TIMEOUT_MILLIS,
        result -> responder.accept(responseOf(ParsedResponseHeads.checkOwnerAnswer(result))));
  }

  private static LocalResponse responseOf(Result<KeyAnswer> result) {
    if (result instanceof Result.Success<KeyAnswer> success) {
      return KeyAnswerConverter.toCaller(success.value());
    }
    return KeyStateResponses.unknown(
        ((Result.Failed<KeyAnswer>) result).failures().get(0).toString());
  }
}
