package org.chivecross.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.ConnectionKind;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.junit.jupiter.api.Test;

class DecisionLogTest {

  private static final Failure CAUSE = new Failure(Step.ADMIT, "local", "limit reached");

  private final DecisionLog log = new DecisionLog(3);

  private static RequestHead head(String path) {
    return new RequestHead("GET", "h", path, Optional.empty(), 0, Optional.empty(), false);
  }

  private static Decision answer() {
    return new Decision.Answer(503, Outcome.NOT_RUN, CAUSE, OptionalLong.empty());
  }

  @Test
  void routineDecisionsAreNotRecorded() {
    log.add(head("/a"), new Decision.Send(0, 7, ConnectionKind.ANY, 1), 1);
    log.add(head("/a"), new Decision.Relay(0), 2);
    log.add(head("/a"), new Decision.Await(9), 3);
    log.add(head("/a"), new Decision.Finish(), 4);
    assertEquals(List.of(), log.newestFirst());
  }

  @Test
  void answersAbortsResendsAndPassesAreRecordedWithTheirCause() {
    log.add(head("/a"), answer(), 1);
    log.add(head("/b"), new Decision.Send(1, 7, ConnectionKind.FRESH, 1), 2);
    log.add(head("/c"), new Decision.PassToOwner(255), 3);
    List<DecisionRecord> records = log.newestFirst();
    assertEquals(
        List.of("pass-to-owner", "resend", "answer"),
        records.stream().map(DecisionRecord::action).toList());
    assertEquals("entry ff", records.get(0).peer());
    assertEquals(7, records.get(1).target());
    assertEquals("limit reached", records.get(2).detail());
    assertEquals("not-run", records.get(2).outcome());
  }

  @Test
  void onlyTheNewestDecisionsAreKeptNewestFirst() {
    for (int i = 0; i < 10; i++) {
      log.add(head("/" + i), answer(), i);
    }
    assertEquals(
        List.of("/9", "/8", "/7"), log.newestFirst().stream().map(DecisionRecord::path).toList());
  }

  @Test
  void recordingMachineReturnsTheDecisionOfTheWrappedMachine() {
    Decision refused = answer();
    RequestMachines machines = () -> new FixedDecisionMachine(refused);
    assertSame(refused, log.recorded(machines).create().arrived(head("/a"), 5));
    assertEquals(5, log.newestFirst().get(0).nanos());
  }
}
