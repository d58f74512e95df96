package org.chivecross.logic.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;

/** Cucumber steps for the configuration versions that one entry holds. */
public final class ConfigSteps {

  private static final FileSet EMPTY =
      new FileSet(
          new Deployment("test", 1, 1, 1, List.of(), List.of()), List.of(), List.of(), List.of());

  private final ConfigStore store = new ConfigStore();

  @Given("an entry with version {int}.{int} in force")
  @When("it receives the good set {int}.{int}")
  public void receiveValidSet(int epoch, int revision) {
    adopt(epoch, revision, Result.success(EMPTY));
  }

  @When("it receives the bad set {int}.{int}")
  public void receiveInvalidSet(int epoch, int revision) {
    adopt(epoch, revision, Result.failed(Step.FILE_SET, "rules/a.yaml", "two rules"));
  }

  @Then("version {int}.{int} is in force")
  public void assertVersionInForce(int epoch, int revision) {
    assertEquals(new ConfigVersion(epoch, revision), store.inForceVersion());
  }

  private void adopt(int epoch, int revision, Result<FileSet> checkResult) {
    store.adopt(
        new StoredFileSet(new ConfigVersion(epoch, revision), new byte[0], Map.of(), checkResult));
  }
}
