package org.chivecross.logic.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.chivecross.model.failure.Result;
import org.chivecross.model.history.HistoryEvent;
import org.chivecross.model.history.Violation;
import org.junit.jupiter.api.Test;

/** Each rule accepts a correct history and finds a planted violation. */
class HistoryCheckerTest {

  private static final String CALL = "call at=1 request=r1 class=write key=k entry=e1 digest=d";
  private static final String RUN = "run at=2 request=r1 class=write key=k upstream=u1 digest=d";
  private static final String RAN =
      "ran at=3 request=r1 upstream=u1 status=200 digest=x length=5 complete=true";
  private static final String ANSWER =
      "answer at=4 request=r1 status=200 outcome= digest=x length=5";

  @Test
  void passesAGoodHistory() {
    assertViolations("", CALL, RUN, RAN, ANSWER);
  }

  @Test
  void findsARequestThatRanTwice() {
    assertViolations("at-most-once at-most-once", CALL, RUN, RUN.replace("u1", "u2"), RAN, ANSWER);
  }

  @Test
  void findsAKeyThatRanTwiceInTwoRequests() {
    String other = "r2";
    assertViolations(
        "at-most-once",
        CALL,
        RUN,
        RAN,
        ANSWER,
        CALL.replace("r1", other),
        RUN.replace("r1", other),
        RAN.replace("r1", other),
        ANSWER.replace("r1", other));
  }

  @Test
  void letsAReadRunTwice() {
    String run = RUN.replace("write", "read").replace("key=k", "key=");
    String call = CALL.replace("write", "read").replace("key=k", "key=");
    assertViolations("", call, run, run, RAN, ANSWER);
  }

  @Test
  void findsNotRunThatRan() {
    String answer = "answer at=4 request=r1 status=503 outcome=not-run digest= length=0";
    assertViolations("truthful-outcome", CALL, RUN, answer);
    assertViolations("truthful-outcome", CALL, RUN, answer.replace("not-run", "expired"));
    assertViolations("", CALL, RUN, answer.replace("not-run", "unknown"));
    assertViolations("", CALL, answer);
  }

  @Test
  void findsNotRunOfAResendWhoseKeyRan() {
    String answer = "answer at=9 request=r2 status=409 outcome=not-run digest= length=0";
    String resend = CALL.replace("r1", "r2").replace("at=1", "at=8");
    assertViolations("truthful-outcome", CALL, RUN, RAN, ANSWER, resend, answer);
    assertViolations("", CALL, RUN, RAN, ANSWER, resend, answer.replace("not-run", "answered"));
  }

  @Test
  void findsAnsweredThatNeverRan() {
    String answer = "answer at=9 request=r1 status=409 outcome=answered digest= length=0";
    assertViolations("truthful-outcome", CALL, answer);
  }

  @Test
  void findsAFencedKeyThatRan() {
    assertViolations("truthful-outcome", "fenced at=1 key=k", CALL, RUN, RAN, ANSWER);
  }

  @Test
  void findsTruncatedAlteredAndForeignAnswers() {
    assertViolations("whole-own-answer", CALL, RUN, RAN, ANSWER.replace("length=5", "length=4"));
    assertViolations("whole-own-answer", CALL, RUN, RAN, ANSWER.replace("digest=x", "digest=y"));
    assertViolations("whole-own-answer", CALL, RUN, RAN.replace("r1", "r2"), ANSWER);
    assertViolations("whole-own-answer", CALL, RUN, RAN.replace("true", "false"), ANSWER);
  }

  @Test
  void findsMissingAndSecondOutcomes() {
    assertViolations("one-outcome", CALL, RUN, RAN);
    assertViolations("one-outcome", CALL, RUN, RAN, ANSWER, "broken at=5 request=r1 reason=cut");
    assertViolations("one-outcome", "broken at=5 request=r1 reason=cut");
  }

  @Test
  void findsNewWorkAtALeavingUpstream() {
    String late = RUN.replace("at=2", "at=2000002");
    assertViolations("leaving", "leaving at=1 upstream=u1", CALL, late, RAN, ANSWER);
    assertViolations("", "leaving at=3 upstream=u1", CALL, late, RAN, ANSWER);
    assertViolations(
        "", "leaving at=1 upstream=u1", "back at=5 upstream=u1", CALL, late, RAN, ANSWER);
  }

  @Test
  void findsUngracefulStops() {
    String stop = "stop at=1 node=e1 planned=true";
    String stopped = "stopped at=9 node=e1 inFlight=0";
    assertViolations("", stop, stopped);
    assertViolations("graceful-stop", stop);
    assertViolations("graceful-stop", stop, stopped.replace("inFlight=0", "inFlight=1"));
    assertViolations("", stop.replace("true", "false"));
    assertViolations("graceful-stop", stop, stopped, CALL, "broken at=5 request=r1 reason=closed");
    assertViolations("", stop, stopped, CALL, "broken at=5 request=r1 reason=timeout");
    assertViolations(
        "graceful-stop",
        stop.replace("e1", "u1"),
        stopped.replace("e1", "u1"),
        CALL,
        RUN,
        RAN.replace("true", "false"),
        "broken at=5 request=r1 reason=timeout");
  }

  @Test
  void findsVersionRollbackAndLatePropagation() {
    String first = "config at=1 entry=e1 version=1";
    String second = "config at=3 entry=e1 version=2";
    String published = "published at=2 version=2";
    String end = "published at=21000000 version=2";
    assertViolations("", first, published, second, end);
    assertViolations("version-order", second, "config at=4 entry=e1 version=1");
    assertViolations("version-order", first, published, end);
    assertViolations("", first, published, "stop at=5 node=e1 planned=false", end);
  }

  @Test
  void refusesUnknownMissingAndRepeatedFields() {
    HistoryCodec codec = new HistoryCodec();
    String good = codec.write(new HistoryEvent.Fenced(1, "load-1", "k"));
    assertEquals(
        Result.success(List.of(new HistoryEvent.Fenced(1, "load-1", "k"))),
        codec.read("f", List.of(good, "")));
    for (String bad :
        List.of(
            good.replace("\"key\"", "\"kye\""),
            good.replace(",\"key\":\"k\"", ""),
            good.replace("\"at\":1", "\"at\":1,\"at\":1"),
            good.replace("fenced", "fencd"),
            "x")) {
      assertInstanceOf(Result.Failed.class, codec.read("f", List.of(bad)), bad);
    }
  }

  private static void assertViolations(String rules, String... lines) {
    List<String> json = Arrays.stream(lines).map(HistoryCheckerTest::json).toList();
    Result<List<HistoryEvent>> read = new HistoryCodec().read("test", json);
    List<HistoryEvent> events =
        ((Result.Success<List<HistoryEvent>>)
                assertInstanceOf(Result.Success.class, read, read.toString()))
            .value();
    List<String> found = new ArrayList<>();
    for (Violation violation : new HistoryChecker().check(events)) {
      found.add(violation.rule());
    }
    assertEquals(rules, String.join(" ", found));
  }

  /** Turns {@code event name=value ...} into a line of JSON. */
  private static String json(String line) {
    String[] parts = line.split(" ", -1);
    StringBuilder json = new StringBuilder("{\"event\":\"" + parts[0] + "\",\"by\":\"test\"");
    for (int i = 1; i < parts.length; i++) {
      String[] field = parts[i].split("=", -1);
      boolean bare = field[1].matches("[0-9]+|true|false");
      String value = bare ? field[1] : "\"" + field[1] + "\"";
      json.append(",\"").append(field[0]).append("\":").append(value);
    }
    return json.append('}').toString();
  }
}
