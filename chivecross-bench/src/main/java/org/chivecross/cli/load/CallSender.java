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
 * Sends requests and classifies what comes back. A request that is undecided or proved not to have
 * run is sent again, writes only with the same key. Thread-safe.
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

  /** Sends a request; the future completes with what became of it and never fails. */
  CompletableFuture<CallResult> send(PlannedRequest ticket) {
    DirectoryAnswer directory = directoryOf(ticket);
    return send(ticket, directory, 0);
  }

  private DirectoryAnswer directoryOf(PlannedRequest ticket) {
    if (preferences.direct()) {
      return new DirectoryAnswer(List.of(), "", Long.MAX_VALUE);
    }
    return directories.get(ticket.caller()).current(clock.getAsLong());
  }

  private CompletableFuture<CallResult> send(
      PlannedRequest ticket, DirectoryAnswer directory, int attempt) {
    String destination = destination(ticket, directory, attempt);
    byte[] body = bodyOf(ticket);
    String key = keyOf(ticket, directory);
    HttpRequest request = request(ticket.attemptId(attempt), ticket, destination, key, body);
    recorder.recordCall(ticket, attempt, key, destination, body);
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle((response, failure) -> classify(ticket, response, failure, attempt))
        .thenCompose(
            result -> {
              boolean again = attempt < preferences.resends() && mayResend(result, directory);
              return again
                  ? send(ticket, directory, attempt + 1)
                  : CompletableFuture.completedFuture(result);
            });
  }

  private static boolean mayResend(CallResult result, DirectoryAnswer directory) {
    boolean keyed = !directory.keyPrefix().isEmpty();
    RequestClass requestClass = result.request().kind().requestClass();
    return switch (result.verdict()) {
      case NOT_RUN -> result.status() == 0;
      case UNKNOWN -> requestClass == RequestClass.READ || keyed;
      case ANSWERED, EXPIRED -> false;
    };
  }

  private String destination(PlannedRequest ticket, DirectoryAnswer directory, int attempt) {
    if (preferences.direct()) {
      List<String> targets = ticket.kind().targets();
      return targets.get((int) (nextTarget.getAndIncrement() % targets.size()));
    }
    List<String> entries = directory.entries();
    return entries.get(attempt % entries.size());
  }

  private static String keyOf(PlannedRequest ticket, DirectoryAnswer directory) {
    boolean keyed =
        ticket.kind().requestClass() == RequestClass.WRITE && !directory.keyPrefix().isEmpty();
    return keyed ? directory.keyPrefix() + ticket.id() : "";
  }

  private HttpRequest request(
      String id, PlannedRequest ticket, String destination, String key, byte[] body) {
    RequestKind kind = ticket.kind();
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + destination + kind.path()))
            .timeout(REQUEST_TIMEOUT)
            .header("Host", kind.host())
            .header(StandinHeaders.REQUEST_ID, id)
            .header(StandinHeaders.REQUEST_CLASS, kind.className())
            .header(StandinHeaders.WORK_MICROS, Long.toString(ticket.workMicros()))
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

  private byte[] bodyOf(PlannedRequest ticket) {
    return switch (ticket.kind().requestClass()) {
      case READ -> new byte[0];
      case WRITE -> ticket.id().getBytes(StandardCharsets.UTF_8);
      case UPLOAD -> new BodyPattern(ticket.id()).bytes(0, preferences.uploadBytes());
    };
  }

  private CallResult classify(
      PlannedRequest ticket, HttpResponse<byte[]> response, Throwable failure, int attempt) {
    long latency = clock.getAsLong() - ticket.intendedStartNanos();
    if (failure != null) {
      Throwable cause = unwrap(failure);
      recorder.recordBroken(ticket, attempt, cause);
      Verdict verdict = cause instanceof ConnectException ? Verdict.NOT_RUN : Verdict.UNKNOWN;
      return new CallResult(ticket, verdict, 0, "", latency, attempt + 1, true);
    }
    recorder.recordAnswer(ticket, attempt, response);
    Optional<String> outcome = response.headers().firstValue(CallRecorder.OUTCOME_HEADER);
    String target = response.headers().firstValue(StandinHeaders.TARGET).orElse("");
    Verdict verdict = verdictOf(outcome, response.statusCode());
    boolean intact = verdict != Verdict.ANSWERED || isIntact(ticket, response, attempt);
    return new CallResult(
        ticket, verdict, response.statusCode(), target, latency, attempt + 1, intact);
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

  private boolean isIntact(PlannedRequest ticket, HttpResponse<byte[]> response, int attempt) {
    boolean recorded = response.headers().firstValue(CallRecorder.OUTCOME_HEADER).isPresent();
    if (recorded || response.statusCode() != OK) {
      return true;
    }
    byte[] body = response.body();
    boolean head = ticket.kind().method().equals("HEAD");
    boolean whole = head ? body.length == 0 : body.length == preferences.bodyBytes();
    return whole && new BodyPattern(ticket.attemptId(attempt)).matches(0, body);
  }
}
