package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.drain.DrainSystem;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.HealthReport;
import org.chivecross.logic.probe.Probe;
import org.chivecross.logic.request.FakePolicies;
import org.chivecross.logic.request.RequestPolicies;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;

/** Cucumber steps on probes, leaving upstreams and graceful stops. */
public final class FleetSteps {

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int SELECTIONS = 500;
  private static final long STOP_DEADLINE_MILLIS = 60_000;

  private final List<BalancerEngine> engines = new ArrayList<>();
  private final List<Integer> probesByTarget = new ArrayList<>();
  private FileSet set = DeploymentFixture.fileSet("cooperative");
  private DrainSystem drain = new DrainSystem(STOP_DEADLINE_MILLIS);
  private boolean inFlight;
  private int leaving = TargetSelector.NONE;
  private long now;

  @Given("{int} entries of {word} that measure load")
  public void entries(int count, String deployment) {
    set = DeploymentFixture.fileSet(deployment);
    for (int i = 0; i < count; i++) {
      engines.add(withRequestInFlight(DeploymentFixture.engine(set, i)));
    }
  }

  @When("all entries run for {int} s")
  public void run(int seconds) {
    runEach(engines, seconds);
  }

  @When("one entry sleeps for {int} s while the others run")
  public void sleep(int seconds) {
    runEach(engines.subList(1, engines.size()), seconds);
  }

  @When("{int} more entries are started")
  public void startMore(int count) {
    for (int i = 0; i < count; i++) {
      BalancerEngine engine = DeploymentFixture.engine(set, engines.size());
      engine.apply(set, now);
      engines.add(withRequestInFlight(engine));
    }
  }

  @Then("probes were sent and no target served more of them than its budget")
  public void withinBudget() {
    Service service = set.services().get(0);
    long slots = service.targets().get(0).slots();
    BigDecimal allowedMillis =
        BigDecimal.valueOf(service.probeBudget()).multiply(BigDecimal.valueOf(slots * now, 6));
    int maxProbes = Collections.max(probesByTarget);
    BigDecimal spentMillis =
        BigDecimal.valueOf(service.probeMillis()).multiply(BigDecimal.valueOf(maxProbes));
    assertTrue(maxProbes > 0, "no probe was sent");
    assertTrue(
        spentMillis.compareTo(allowedMillis) <= 0,
        "spent " + spentMillis + " ms of a target, allowed " + allowedMillis);
  }

  @When("an upstream says in an answer that it is leaving")
  public void leavingHeader() {
    markLeaving(row -> policies(engines.get(0)).observer().leavingReported(row, now));
  }

  @When("the list of VMs says that an upstream is leaving")
  public void leavingListed() {
    markLeaving(
        row -> {
          String address = engines.get(0).address(row);
          engines.get(0).vmListed(address.substring(0, address.indexOf(':')), true, now);
        });
  }

  @When("a health report says that an upstream is leaving")
  public void leavingHealth() {
    markLeaving(row -> healthReported(row, true, now));
  }

  @When("an older health report says that it stays")
  public void olderReport() {
    healthReported(leaving, false, now - 1);
  }

  @When("the other entry is informed by its peer")
  public void peerReceivesLeavingMarks() {
    engines.get(1).mergeLeavingMarks(engines.get(0).leavingMarks(now), now);
  }

  @Then("within 2 s no entry sends it new work")
  public void noNewWork() {
    now += TimeUnit.SECONDS.toNanos(2);
    for (BalancerEngine engine : engines) {
      engine.tick(now);
      TargetSelector selector = policies(engine).selector();
      for (int i = 0; i < SELECTIONS; i++) {
        assertNotEquals(leaving, selector.select(0, RequestClass.READ, TargetSelector.NONE, now));
      }
    }
  }

  @Given("an entry with a request in flight that was named to callers for {int} ms")
  public void draining(int lifetimeMillis) {
    inFlight = true;
    drain = new DrainSystem(STOP_DEADLINE_MILLIS);
    drain.requestStop(lifetimeMillis, now);
  }

  @When("{int} s pass")
  public void pass(int seconds) {
    now += TimeUnit.SECONDS.toNanos(seconds);
  }

  @When("the request in flight ends")
  public void requestEnds() {
    inFlight = false;
  }

  @Then("the entry still serves")
  public void stillServes() {
    assertEquals(DrainSystem.Phase.LEAVING, drain.tick(!inFlight, now));
  }

  @Then("the entry has stopped and cut nothing off")
  public void stoppedGracefully() {
    assertEquals(DrainSystem.Phase.FINISHED, drain.tick(!inFlight, now));
  }

  private void runEach(List<BalancerEngine> running, int seconds) {
    long end = now + TimeUnit.SECONDS.toNanos(seconds);
    while (now < end) {
      now += TICK_NANOS;
      for (BalancerEngine engine : running) {
        engine.tick(now);
        for (Probe probe : engine.takeProbes(now)) {
          count(probe.target());
          engine.probeEnded(probe.target(), Optional.empty(), now, 100, now);
        }
      }
    }
  }

  private void count(int target) {
    while (probesByTarget.size() <= target) {
      probesByTarget.add(0);
    }
    probesByTarget.set(target, probesByTarget.get(target) + 1);
  }

  private void healthReported(int row, boolean isLeaving, long startNanos) {
    HealthReport report = new HealthReport(isLeaving, Optional.empty());
    engines.get(0).healthReported(row, report, startNanos, now);
  }

  private void markLeaving(java.util.function.IntConsumer mark) {
    leaving =
        policies(engines.get(0)).selector().select(0, RequestClass.READ, TargetSelector.NONE, now);
    mark.accept(leaving);
  }

  /** Admits a read that stays in flight, since only services in use are probed. */
  private BalancerEngine withRequestInFlight(BalancerEngine engine) {
    policies(engine).admission().admit(0, RequestClass.READ, Long.MAX_VALUE, now);
    return engine;
  }

  private static RequestPolicies policies(BalancerEngine engine) {
    return engine.policies(new FakePolicies().policies().keys());
  }
}
