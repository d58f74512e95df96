package org.chivecross.cli.entry.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.chivecross.cli.entry.http.LocalHandler;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.dispatch.PlacementExplanation;

/**
 * Answers {@code GET /explain?host=H&path=P[&bytes=N][&deadline_ms=N]}: where a request would be
 * sent now, and why. Nothing is sent and no state changes. Thread-safe: the dispatcher is read
 * while the lock is held.
 */
final class ExplainPage implements LocalHandler {

  private static final int BAD_REQUEST = 400;
  private static final int BAD_METHOD = 405;

  /** Digits of a number that always fits. */
  private static final String NUMBER = "[0-9]{1,15}";

  private final Object lock;
  private final Dispatcher dispatcher;
  private final JsonMapper mapper =
      JsonMapper.builder().enable(SerializationFeature.WRITE_ENUMS_USING_TO_STRING).build();

  private final AtomicLong answered = new AtomicLong();

  ExplainPage(Object lock, Dispatcher dispatcher) {
    this.lock = lock;
    this.dispatcher = dispatcher;
  }

  @Override
  public void handle(LocalRequest request, Consumer<LocalResponse> responder) {
    responder.accept(answer(request));
  }

  /** Returns the number of explanations that were given. */
  long answeredCount() {
    return answered.get();
  }

  private LocalResponse answer(LocalRequest request) {
    if (!request.method().equals("GET")) {
      return refusal(BAD_METHOD, "method: got " + request.method() + ", allowed: GET");
    }
    Map<String, String> query = request.query();
    String host = hostName(query.getOrDefault("host", ""));
    String path = query.getOrDefault("path", "").split("\\?", 2)[0];
    if (host.isEmpty()) {
      return refusal(BAD_REQUEST, "host: got none, allowed: the host name of a request");
    }
    if (!path.startsWith("/")) {
      return refusal(BAD_REQUEST, "path: got \"" + path + "\", allowed: a path that starts with /");
    }
    for (String name : new String[] {"bytes", "deadline_ms"}) {
      if (query.containsKey(name) && !query.getOrDefault(name, "").matches(NUMBER)) {
        String got = query.getOrDefault(name, "");
        return refusal(BAD_REQUEST, name + ": got \"" + got + "\", allowed: a number from 0");
      }
    }
    long bytes = Long.parseLong(query.getOrDefault("bytes", "0"));
    OptionalLong deadline =
        query.containsKey("deadline_ms")
            ? OptionalLong.of(Long.parseLong(query.getOrDefault("deadline_ms", "0")))
            : OptionalLong.empty();
    PlacementExplanation explanation;
    synchronized (lock) {
      explanation = dispatcher.explainer().explain(host, path, bytes, deadline, System.nanoTime());
    }
    answered.incrementAndGet();
    return LocalResponse.json(write(explanation));
  }

  /** Returns a host as routes name it: in lower case, without port. */
  private static String hostName(String host) {
    return host.replaceFirst(":[0-9]*$", "").toLowerCase(Locale.ROOT);
  }

  private LocalResponse refusal(int status, String detail) {
    return LocalResponse.text(
        status, Map.of(), "application/json", write(Map.of("detail", detail)));
  }

  private String write(Object value) {
    try {
      return mapper.writeValueAsString(value) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to write an explanation as JSON", e);
    }
  }
}
