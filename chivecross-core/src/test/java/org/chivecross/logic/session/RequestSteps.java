package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.model.history.HistoryEvent;

/** Cucumber steps on single requests, with the real engine, request machines and key tables. */
public final class RequestSteps {

  private static final int MAX_TIMER_RUNS = 1000;

  private final Map<String, Integer> attempts = new HashMap<>();
  private VirtualFleet fleet = new VirtualFleet(DeploymentFixture.setup("cooperative", 2));

  /** Checks that at the end of every scenario all requests are settled and no rule is violated. */
  @After
  public void checkInvariants() {
    for (int i = 0; i < MAX_TIMER_RUNS && !fleet.isSettled(); i++) {
      fleet.apply("wake");
    }
    assertTrue(fleet.isSettled(), "a request has no outcome");
    assertEquals(List.of(), fleet.violations());
  }

  @Given("the entries of the Cooperative")
  public void cooperative() {
    fleet = new VirtualFleet(DeploymentFixture.setup("cooperative", 2));
    fillRetryBudget();
  }

  @Given("the entries of Prairie Screenworks")
  public void prairie() {
    fleet = new VirtualFleet(DeploymentFixture.setup("prairie", 2));
    fillRetryBudget();
  }

  @When("a dispatcher/fitter reads {word}")
  public void reads(String name) {
    call(name, "read at e0");
  }

  @When("a clerk confirms {word}")
  @When("the office books {word}")
  public void writes(String name) {
    call(name, "write at e0 key e0/" + name);
  }

  @When("a(n) owner/crew uploads {word}")
  public void uploads(String name) {
    call(name, "upload at e0 key e0/" + name);
  }

  @When("{word} is sent again to the same entry as {word}")
  public void resendsToSame(String name, String again) {
    call(again, "write at e0 key e0/" + name);
  }

  @When("{word} is sent again to another entry as {word}")
  public void resendsToOther(String name, String again) {
    call(again, "write at e1 key e0/" + name);
    fleet.apply("deliver " + again);
  }

  @When("{word} is sent again to another entry as {word} and the entries are cut off")
  public void resendsAcrossCut(String name, String again) {
    call(again, "write at e1 key e0/" + name);
    fleet.apply("drop " + again);
  }

  @When("the upstream receives {word}")
  public void receives(String name) {
    onAttempt("connect", name);
  }

  @When("the upstream runs {word}")
  public void runs(String name) {
    onAttempt("run", name);
  }

  @When("the upstream answers {word}")
  public void answers(String name) {
    onAttempt("reply", name);
    onAttempt("end", name);
  }

  @When("the upstream begins to answer {word}")
  public void beginsToAnswer(String name) {
    onAttempt("reply", name);
  }

  @When("the relayed answer of {word} ends")
  public void relayEnds(String name) {
    onAttempt("end", name);
  }

  @When("the upstream sheds {word} before running it")
  public void sheds(String name) {
    onAttempt("connect", name);
    onAttempt("shed", name);
    onAttempt("reply", name);
  }

  @When("the upstream fails {word} fast")
  public void failsFast(String name) {
    onAttempt("connect", name);
    onAttempt("busy", name);
    onAttempt("reply", name);
  }

  @When("the upstream refuses the connection of {word}")
  public void refuses(String name) {
    onAttempt("refuse", name);
  }

  @When("the connection of {word} is lost")
  public void loses(String name) {
    onAttempt("lose", name);
  }

  @When("another upstream is tried for {word}")
  public void retried(String name) {
    fleet.apply("wake");
    attempts.merge(name, 1, Integer::sum);
  }

  @When("the connection of {word} stays silent until its deadline")
  public void silent(String name) {
    while (fleet.isWaiting(name)) {
      fleet.apply("wake");
    }
  }

  @When("the entry pauses past the deadline")
  public void pauses() {
    fleet.apply("pause 200");
  }

  @When("the entry dies")
  public void dies() {
    fleet.apply("kill e0");
  }

  @When("the caller of {word} goes away")
  public void goesAway(String name) {
    fleet.apply("cancel " + name);
  }

  @When("the office cancels {word}")
  public void cancels(String name) {
    fleet.apply("fence e0/" + name + " at e0");
  }

  @Then("the caller of {word} gets the whole answer")
  public void wholeAnswer(String name) {
    assertTrue(log().stream().anyMatch(l -> l.startsWith("caller: " + name + " 200 from")), text());
  }

  @Then("the caller of {word} sees a broken answer")
  public void brokenAnswer(String name) {
    assertTrue(log().contains("caller: " + name + " broken, cut"), text());
  }

  @Then("the caller of {word} is told {word}")
  public void getsOutcome(String name, String outcome) {
    boolean hasOutcome =
        log().stream()
            .anyMatch(l -> l.startsWith("caller: " + name + " ") && l.endsWith(" " + outcome));
    assertTrue(hasOutcome, text());
  }

  @Then("{word} ran {int} time(s)")
  public void ran(String name, int times) {
    long runs =
        fleet.recorder().events().stream()
            .filter(event -> event instanceof HistoryEvent.Run run && isAbout(run, name))
            .count();
    assertEquals(times, runs, text());
  }

  private static boolean isAbout(HistoryEvent.Run run, String name) {
    return run.request().equals(name) || run.key().endsWith("-" + name);
  }

  /** Runs successful requests, as the retry budget is a fraction of successes. */
  private void fillRetryBudget() {
    for (String requestClass : List.of("read", "write", "upload")) {
      String name = "earlier-" + requestClass;
      call(name, requestClass + " at e0");
      for (String verb : List.of("connect", "run", "reply", "end")) {
        onAttempt(verb, name);
      }
    }
  }

  private void call(String name, String rest) {
    fleet.apply("call " + name + " " + rest);
  }

  private void onAttempt(String verb, String name) {
    fleet.apply(verb + " " + name + "/" + attempts.getOrDefault(name, 0));
  }

  private List<String> log() {
    return fleet.recorder().lines();
  }

  private String text() {
    return String.join("\n", log());
  }
}
