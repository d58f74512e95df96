package org.chivecross.cli.load;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.chivecross.cli.history.BodyPattern;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.cli.history.StandinHeaders;
import org.chivecross.model.fileset.RequestClass;

/**
 * Sends requests and classifies the results.
 *
 * <p>After a failed connect, a request is sent again. A request with an unknown outcome is sent
 * again if it is a read or if the directory assigned a key prefix; a write then carries the same
 * idempotency key. Thread-safe.
 */
final class CallSender {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;

  private final HttpClient client;
  private final LoadPreferences preferences;
  private final List<CallerDirectory> directories;
  private final CallRecorder recorder;
  private final LongSupplier clock;
  private final AtomicLong nextTarget = new AtomicLong();

  CallSender(
      HttpClient client,
      LoadPreferences preferences,
      List<CallerDirectory> directories,
      HistoryWriter history,
      LongSupplier clock) {
    this.client = client;
    this.preferences = preferences;
    this.directories = List.copyOf(directories);
    recorder = new CallRecorder(history);
    this.clock = clock;
  }

  /** Sends a request; the future completes with the result and never exceptionally. */
  CompletableFuture<CallResult> send(PlannedRequest planned) {
    DirectoryAnswer directory = directoryOf(planned);
    return send(planned, directory, 0);
  }

  private DirectoryAnswer directoryOf(PlannedRequest planned) {
    if (preferences.direct()) {
      return new DirectoryAnswer(List.of(), "", Long.MAX_VALUE);
    }
    return directories.get(planned.caller()).current(clock.getAsLong());
  }

  private CompletableFuture<CallResult> send(
      PlannedRequest planned, DirectoryAnswer directory, int attempt) {
    String destination = destination(planned, directory, attempt);
    byte[] body = bodyOf(planned);
    String key = keyOf(planned, directory);
    HttpRequest request = request(planned.attemptId(attempt), planned, destination, key, body);
    recorder.recordCall(planned, attempt, key, destination, body);
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle((response, failure) -> classify(planned, response, failure, attempt))
        .thenCompose(
            result -> {
              boolean sendsAgain = attempt < preferences.resends() && mayResend(result, directory);
              return sendsAgain
                  ? send(planned, directory, attempt + 1)
                  : CompletableFuture.completedFuture(result);
            });
  }

  private static boolean mayResend(CallResult result, DirectoryAnswer directory) {
    boolean hasKeyPrefix = !directory.keyPrefix().isEmpty();
    RequestClass requestClass = result.request().kind().requestClass();
    return switch (result.verdict()) {
      case NOT_RUN -> result.status() == 0;
      case UNKNOWN -> requestClass == RequestClass.READ || hasKeyPrefix;
      case ANSWERED, EXPIRED -> false;
    };
  }

  private String destination(PlannedRequest planned, DirectoryAnswer directory, int attempt) {
    if (preferences.direct()) {
      List<String> targets = planned.kind().targets();
      return targets.get((int) (nextTarget.getAndIncrement() % targets.size()));
    }
    List<String> entries = directory.entries();
    return entries.get(attempt % entries.size());
  }

  private static String keyOf(PlannedRequest planned, DirectoryAnswer directory) {
    boolean needsKey =
        planned.kind().requestClass() == RequestClass.WRITE && !directory.keyPrefix().isEmpty();
    return needsKey ? directory.keyPrefix() + planned.id() : "";
  }

  private HttpRequest request(
      String id, PlannedRequest planned, String destination, String key, byte[] body) {
    RequestKind kind = planned.kind();
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + destination + kind.path()))
            .timeout(REQUEST_TIMEOUT)
            .header("Host", kind.host())
            .header(StandinHeaders.REQUEST_ID, id)
            .header(StandinHeaders.REQUEST_CLASS, kind.className())
            .header(StandinHeaders.WORK_MICROS, Long.toString(planned.workMicros()))
            .header(StandinHeaders.BODY_BYTES, Long.toString(preferences.bodyBytes()));
    if (!key.isEmpty()) {
      builder.header("Idempotency-Key", key);
    }
    HttpRequest.BodyPublisher publisher =
        body.length == 0
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    return builder.method(kind.method(), publisher).build();
  }

  private byte[] bodyOf(PlannedRequest planned) {
    return switch (planned.kind().requestClass()) {
      case READ -> new byte[0];
      case WRITE -> planned.id().getBytes(StandardCharsets.UTF_8);
      case UPLOAD -> new BodyPattern(planned.id()).bytes(0, preferences.uploadBytes());
    };
  }

  private CallResult classify(
      PlannedRequest planned, HttpResponse<byte[]> response, Throwable failure, int attempt) {
    long latency = clock.getAsLong() - planned.intendedStartNanos();
    if (failure != null) {
      Throwable cause = unwrap(failure);
      recorder.recordBroken(planned, attempt, cause);
      Verdict verdict = cause instanceof ConnectException ? Verdict.NOT_RUN : Verdict.UNKNOWN;
      return new CallResult(planned, verdict, 0, "", latency, attempt + 1, true);
    }
    recorder.recordAnswer(planned, attempt, response);
    Optional<String> outcome = response.headers().firstValue(CallRecorder.OUTCOME_HEADER);
    String target = response.headers().firstValue(StandinHeaders.TARGET).orElse("");
    Verdict verdict = verdictOf(outcome, response.statusCode());
    boolean intact = verdict != Verdict.ANSWERED || isIntact(planned, response, attempt);
    return new CallResult(
        planned, verdict, response.statusCode(), target, latency, attempt + 1, intact);
  }

  private static Throwable unwrap(Throwable failure) {
    Throwable inner = failure.getCause();
    if (failure instanceof CompletionException && inner != null) {
      return inner;
    }
    return failure;
  }

  private static Verdict verdictOf(Optional<String> outcome, int status) {
    if (outcome.isEmpty()) {
      return status == SERVER_ERROR ? Verdict.UNKNOWN : Verdict.ANSWERED;
    }
    return switch (outcome.get()) {
      case "not-run" -> Verdict.NOT_RUN;
      case "expired" -> Verdict.EXPIRED;
      case "answered" -> Verdict.ANSWERED;
      default -> Verdict.UNKNOWN;
    };
  }

  private boolean isIntact(PlannedRequest planned, HttpResponse<byte[]> response, int attempt) {
    boolean isFromEntry = response.headers().firstValue(CallRecorder.OUTCOME_HEADER).isPresent();
    if (isFromEntry || response.statusCode() != OK) {
      return true;
    }
    byte[] body = response.body();
    boolean isHead = planned.kind().method().equals("HEAD");
    boolean isComplete = isHead ? body.length == 0 : body.length == preferences.bodyBytes();
    return isComplete && new BodyPattern(planned.attemptId(attempt)).matches(0, body);
  }
}
