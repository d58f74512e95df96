package org.chivecross.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PolicyRequestMachineTest {

  private static final long MILLI = 1_000_000;
  private static final ResponseHead OK = new ResponseHead(200, false, false, Optional.empty());
  private static final ResponseHead SHED = new ResponseHead(503, true, false, Optional.empty());
  private static final ResponseHead BUSY = new ResponseHead(503, false, false, Optional.empty());

  private final FakePolicies fakes = new FakePolicies();
  private final RequestMachine machine = new DefaultRequestMachines(fakes.policies()).create();

  @AfterEach
  void everythingTakenIsReleased() {
    machine.cancelled(5000 * MILLI);
    assertEquals(fakes.admitted, fakes.released);
    assertEquals(fakes.started, fakes.ended);
  }

  @Test
  void relaysTheAnswerOfARead() {
    assertSend(0, 0, ConnectionKind.ANY, arrive("/read", 0));
    assertTrue(machine.sending(0, 1));
    assertEquals(new Decision.Relay(0), machine.responseHead(0, OK, 2));
    assertEquals(new Decision.Finish(), machine.responseEnd(0, 3));
    assertEquals(1, fakes.released);
  }

  @Test
  void refusesWithoutRoute() {
    assertAnswer(404, Outcome.NOT_RUN, arrive("/nowhere", 0));
  }

  @Test
  void knownKeyWithoutRouteMayHaveRun() {
    fakes.claim = new KeyClaim.Finished(201, Outcome.ANSWERED);
    assertAnswer(404, Outcome.UNKNOWN, arrive("/nowhere", 0));
  }

  @Test
  void refusesAtOnceWithoutTarget() {
    fakes.targets = 0;
    Decision.Answer answer = assertAnswer(503, Outcome.NOT_RUN, arrive("/write", 0));
    assertEquals(OptionalLong.of(FakePolicies.RETRY_AFTER_MILLIS), answer.retryAfterMillis());
  }

  @Test
  void refusalCarriesRetryAfter() {
    fakes.verdict = Verdict.LIMITED;
    Decision.Answer answer = assertAnswer(429, Outcome.NOT_RUN, arrive("/read", 0));
    assertEquals(OptionalLong.of(FakePolicies.RETRY_AFTER_MILLIS), answer.retryAfterMillis());
  }

  @Test
  void queuedRequestStartsWhenASlotIsFree() {
    fakes.verdict = Verdict.QUEUED;
    assertInstanceOf(Decision.Await.class, arrive("/read", 0));
    assertInstanceOf(Decision.Await.class, machine.timer(machine.nextTimerNanos()));
    fakes.verdict = Verdict.ADMITTED;
    assertSend(0, 0, ConnectionKind.ANY, machine.timer(machine.nextTimerNanos()));
  }

  @Test
  void queuedRequestExpiresUnsent() {
    fakes.verdict = Verdict.QUEUED;
    arrive("/write", 0);
    assertAnswer(504, Outcome.EXPIRED, machine.timer(100 * MILLI));
  }

  @Test
  void writeIsSentAgainAfterRefusedConnection() {
    assertSend(0, 0, ConnectionKind.RECENTLY_LIVE, arrive("/write", 0));
    machine.connectionFailed(0, ConnectionFault.REFUSED, 1);
    assertSend(1, 1, ConnectionKind.RECENTLY_LIVE, machine.timer(machine.nextTimerNanos()));
  }

  @Test
  void writeIsSentAgainAfterProofOfTheTarget() {
    arrive("/write", 0);
    machine.sending(0, 1);
    machine.responseHead(0, SHED, 2);
    assertSend(1, 1, ConnectionKind.RECENTLY_LIVE, machine.timer(machine.nextTimerNanos()));
  }

  @Test
  void writeWithSentByteHasUnknownOutcome() {
    arrive("/write", 0);
    machine.sending(0, 1);
    assertAnswer(502, Outcome.UNKNOWN, machine.connectionFailed(0, ConnectionFault.CLOSED, 2));
  }

  @Test
  void writeRelaysUnprovenUnavailable() {
    arrive("/write", 0);
    machine.sending(0, 1);
    assertEquals(new Decision.Relay(0), machine.responseHead(0, BUSY, 2));
  }

  @Test
  void unsentWriteWithoutRetryBudgetWasNotRun() {
    fakes.retryAllowed = false;
    arrive("/write", 0);
    assertAnswer(502, Outcome.NOT_RUN, machine.connectionFailed(0, ConnectionFault.REFUSED, 1));
  }

  @Test
  void uploadIsNotSentAgainAfterItsBodyBegan() {
    arrive("/upload", 0);
    machine.sending(0, 1);
    machine.bodySent(2);
    assertAnswer(502, Outcome.NOT_RUN, machine.responseHead(0, SHED, 3));
  }

  @Test
  void pausedProcessDoesNotSendAfterTheDeadline() {
    arrive("/write", 0);
    assertFalse(machine.sending(0, 100 * MILLI));
    assertAnswer(504, Outcome.EXPIRED, machine.timer(100 * MILLI));
    assertFalse(machine.sending(0, 1));
  }

  @Test
  void sentWriteIsUnknownAfterTheDeadline() {
    arrive("/write", 0);
    machine.sending(0, 1);
    assertAnswer(504, Outcome.UNKNOWN, machine.timer(100 * MILLI));
    assertEquals(new Decision.Finish(), machine.responseHead(0, OK, 101 * MILLI));
  }

  @Test
  void shedWriteIsNotExpiredAfterTheDeadline() {
    arrive("/write", 0);
    machine.sending(0, 1);
    machine.responseHead(0, SHED, 2);
    assertAnswer(504, Outcome.NOT_RUN, machine.timer(100 * MILLI));
  }

  @Test
  void readIsRetriedAfterUnavailable() {
    arrive("/read", 0);
    machine.sending(0, 1);
    machine.responseHead(0, BUSY, 2);
    assertSend(1, 1, ConnectionKind.RECENTLY_LIVE, machine.timer(machine.nextTimerNanos()));
    machine.sending(1, 2 * MILLI);
    assertEquals(new Decision.Relay(1), machine.responseHead(1, OK, 3 * MILLI));
  }

  @Test
  void hedgedReadTakesTheFirstAnswerAndStopsTheOther() {
    fakes.hedgeDelayNanos = MILLI;
    arrive("/read", 0);
    machine.sending(0, 1);
    assertSend(1, 1, ConnectionKind.RECENTLY_LIVE, machine.timer(MILLI));
    assertEquals(new Decision.Relay(0), machine.responseHead(0, OK, 2 * MILLI));
    assertFalse(machine.sending(1, 2 * MILLI));
  }

  @Test
  void readIsRetriedAfterFirstByteTimeout() {
    fakes.firstByteTimeoutNanos = 5 * MILLI;
    arrive("/read", 0);
    machine.sending(0, 0);
    assertSend(1, 1, ConnectionKind.RECENTLY_LIVE, machine.timer(5 * MILLI));
    assertEquals(List.of(ConnectionFault.SILENT), fakes.faults);
  }

  @Test
  void answerBeforeTheRequestWasSentIsNotRelayed() {
    arrive("/read", 0);
    machine.responseHead(0, OK, 1);
    assertEquals(List.of(ConnectionFault.MALFORMED), fakes.faults);
  }

  /** Guards against targets that count as failed since this entry ends or lacks descriptors. */
  @Test
  void faultOfThisEntryIsNoFailureOfTheTarget() {
    arrive("/read", 0);
    machine.connectionFailed(0, ConnectionFault.LOCAL, 1);
    machine.timer(machine.nextTimerNanos());
    machine.connectionFailed(1, ConnectionFault.LOCAL, 2 * MILLI);
    assertEquals(2, fakes.ended);
    assertEquals(0, fakes.failed);
  }

  @Test
  void brokenAnswerIsAborted() {
    arrive("/read", 0);
    machine.sending(0, 1);
    machine.responseHead(0, OK, 2);
    assertInstanceOf(Decision.Abort.class, machine.connectionFailed(0, ConnectionFault.CLOSED, 3));
    assertEquals(new Decision.Finish(), machine.responseEnd(0, 4));
  }

  @Test
  void keyRecordsTheAnswer() {
    arrive("/write", 0);
    machine.sending(0, 1);
    machine.responseHead(0, OK, 2);
    machine.responseEnd(0, 3);
    assertEquals(List.of("k 200 answered"), fakes.finished);
  }

  @Test
  void cancelledSentWriteIsRecordedAsUnknown() {
    arrive("/write", 0);
    machine.sending(0, 1);
    assertEquals(new Decision.Finish(), machine.cancelled(2));
    assertEquals(List.of("k 0 unknown"), fakes.finished);
  }

  @Test
  void requestWithForeignKeyIsPassedToItsOwner() {
    fakes.claim = new KeyClaim.Foreign(7);
    assertEquals(new Decision.PassToOwner(7), arrive("/write", 0));
    assertEquals(0, fakes.admitted);
  }

  @Test
  void requestsWithKnownKeysAreNotRunAgain() {
    assertClaim(new KeyClaim.InFlight(), 409, Outcome.UNKNOWN);
    assertClaim(new KeyClaim.Finished(201, Outcome.ANSWERED), 409, Outcome.ANSWERED);
    assertClaim(new KeyClaim.Fenced(), 409, Outcome.NOT_RUN);
    assertClaim(new KeyClaim.OutsideWindow(), 409, Outcome.UNKNOWN);
    assertClaim(new KeyClaim.TableFull(), 503, Outcome.NOT_RUN);
    assertClaim(new KeyClaim.Malformed(), 400, Outcome.NOT_RUN);
  }

  private void assertClaim(KeyClaim claim, int status, Outcome outcome) {
    fakes.claim = claim;
    RequestMachine other = new DefaultRequestMachines(fakes.policies()).create();
    assertAnswer(status, outcome, other.arrived(head("/write"), 0));
    assertEquals(0, fakes.admitted);
  }

  private Decision arrive(String path, long nowNanos) {
    return machine.arrived(head(path), nowNanos);
  }

  private static RequestHead head(String path) {
    return new RequestHead("POST", "h", path, Optional.of(100L), 0, Optional.of("k"), true);
  }

  private static void assertSend(int attempt, int target, ConnectionKind kind, Decision decision) {
    assertEquals(new Decision.Send(attempt, target, kind, 100 * MILLI), decision);
  }

  private static Decision.Answer assertAnswer(int status, Outcome outcome, Decision decision) {
    Decision.Answer answer = assertInstanceOf(Decision.Answer.class, decision);
    assertEquals(status, answer.status());
    assertEquals(outcome, answer.outcome());
    return answer;
  }
}
