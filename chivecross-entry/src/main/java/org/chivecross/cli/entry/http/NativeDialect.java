package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.request.LoadReport;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.ResponseHead;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.jspecify.annotations.Nullable;

/** The dialect with the project's own headers. Immutable and safe for use by many threads. */
public final class NativeDialect implements RequestDialect {

  private static final String DEADLINE = "chivecross-deadline-ms";
  private static final String DEPTH = "chivecross-depth";
  private static final String LOAD = "chivecross-load";

  /** {@code in-service=N, queued=N, slots=N}; separators may vary. */
  private static final Pattern LOAD_VALUE =
      Pattern.compile("in-service=(\\d{1,9})[,;]\\s*queued=(\\d{1,9})[,;]\\s*slots=(\\d{1,9})");

  @Override
  public Optional<Long> deadlineMillis(MimeHeaders headers) {
    return RequestHeads.parseLong(headers.getHeader(DEADLINE));
  }

  @Override
  public Optional<String> requestId(MimeHeaders headers) {
    return Optional.empty();
  }

  @Override
  public int depth(MimeHeaders headers) {
    return RequestHeads.parseLong(headers.getHeader(DEPTH)).map(Long::intValue).orElse(0);
  }

  @Override
  public boolean isReplaced(String name) {
    return name.equals(DEADLINE)
        || name.equals(DEPTH)
        || name.equals("x-forwarded-for")
        || name.equals("forwarded");
  }

  @Override
  public boolean isInternal(String name) {
    return name.equals(LOAD);
  }

  @Override
  public void addEntryHeaders(
      MimeHeaders to,
      MimeHeaders from,
      long remainingMillis,
      Optional<String> target,
      String callerAddress) {
    addForwarding(from, to, callerAddress);
    to.addValue("Chivecross-Deadline-Ms").setString(Long.toString(remainingMillis));
    to.addValue("Chivecross-Depth").setString(Long.toString(depth(from) + 1L));
  }

  @Override
  public ResponseHead toDecisionHead(HttpResponsePacket response) {
    MimeHeaders headers = response.getHeaders();
    return new ResponseHead(
        response.getStatus(),
        isNotRun(headers),
        "1".equals(headers.getHeader("chivecross-leaving")),
        parseLoad(headers.getHeader(LOAD)));
  }

  @Override
  public boolean isResponseToProbe(HttpResponsePacket response) {
    return true;
  }

  @Override
  public boolean isCopyRecognisable(HttpResponsePacket response) {
    // Responses carry no id, so that a late copy of a refusal would pass for that of the next.
    return !isNotRun(response.getHeaders());
  }

  @Override
  public boolean isResponseTo(MimeHeaders request, HttpResponsePacket response) {
    return true;
  }

  @Override
  public boolean allowsBodyUntilClose() {
    return false;
  }

  @Override
  public LocalResponse answer(
      int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis) {
    return ProblemAnswers.of(status, outcome, failure, retryAfterMillis);
  }

  @Override
  public LocalResponse answerToEntry(LocalResponse answer, MimeHeaders request, Outcome outcome) {
    // Requests in this dialect are not forwarded.
    return answer;
  }

  private static boolean isNotRun(MimeHeaders headers) {
    return "1".equals(headers.getHeader("chivecross-not-run"));
  }

  private static Optional<LoadReport> parseLoad(@Nullable String text) {
    if (text == null) {
      return Optional.empty();
    }
    Matcher matcher = LOAD_VALUE.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new LoadReport(
            Integer.parseInt(matcher.group(1)),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3))));
  }

  private static void addForwarding(MimeHeaders from, MimeHeaders to, String address) {
    String earlier = joined(from, "x-forwarded-for");
    to.addValue("X-Forwarded-For").setString(earlier + address);
    if (!from.contains("x-forwarded-proto")) {
      to.addValue("X-Forwarded-Proto").setString("http");
    }
    String host = from.getHeader("host");
    if (host != null && !from.contains("x-forwarded-host")) {
      to.addValue("X-Forwarded-Host").setString(host);
    }
    String node = address.indexOf(':') >= 0 ? "\"[" + address + "]\"" : address;
    to.addValue("Forwarded").setString(joined(from, "forwarded") + "for=" + node + ";proto=http");
  }

  private static String joined(MimeHeaders headers, String name) {
    if (!headers.contains(name)) {
      return "";
    }
    StringBuilder text = new StringBuilder();
    for (String value : headers.values(name)) {
      text.append(value).append(", ");
    }
    return text.toString();
  }
}
