package org.chivecross.cli.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.junit.jupiter.api.Test;

class AdminRunTest {

  private static final String TARGETS = "/admin/v1/targets";
  private static final String CONFIG = "/admin/v1/config";
  private static final String TARGET =
      "[{\"address\":\"10.0.0.1:80\",\"service\":\"s\",\"inFlight\":%d,\"weight\":%s,\"reasons\":[%s]}]";

  private static final String EXPLANATION =
      "{\"outcome\":\"%s\",\"detail\":\"d\",\"route\":\"r\",\"service\":\"s\",\"target\":\"%s\","
          + "\"candidates\":[{\"id\":\"t1\",\"reportAgeMillis\":-1,\"reason\":\"slow\"}]}";

  private final FakeEntries entries = new FakeEntries();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final ManualClock clock = new ManualClock();

  /** Clock that advances with each sleep; after three sleeps entry b has version 0.9 in force. */
  private final class ManualClock implements WaitClock {
    private long nanos;
    private int sleeps;

    @Override
    public long nanos() {
      return nanos;
    }

    @Override
    public void sleepMillis(long millis) {
      nanos += millis * 1_000_000;
      sleeps++;
      if (sleeps == 3) {
        entries.answer("b:1", CONFIG, "{\"deployment\":\"d\",\"version\":\"0.9\"}");
      }
    }
  }

  private int run(String... arguments) {
    PrintStream stdout = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream stderr = new PrintStream(err, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of("--admin-entries", "a:1,b:1"));
    all.addAll(List.of(arguments));
    return new ProgramLauncher("chivecross-admin", Map.of(), stdout, stderr)
        .launch(
            new AdminOptions(),
            AdminMain.renameVersionFlag(all),
            options -> new AdminRun(options.toPreferences(), entries, clock, stdout, stderr).run());
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private void setVersionsInForce(String first, String second) {
    entries
        .answer("a:1", CONFIG, "{\"deployment\":\"d\",\"version\":\"" + first + "\"}")
        .answer("b:1", CONFIG, "{\"deployment\":\"d\",\"version\":\"" + second + "\"}");
  }

  @Test
  void listsAreTablesOverAllEntries() {
    entries
        .answer("a:1", TARGETS, TARGET.formatted(2, "1.0", ""))
        .answer("b:1", TARGETS, TARGET.formatted(0, "0.0", "\"leaving\",\"silent\""));
    assertEquals(0, run("targets"));
    assertEquals(
        """
        entry  address      service  inFlight  weight  reasons
        a:1    10.0.0.1:80  s        2         1.0
        b:1    10.0.0.1:80  s        0         0.0     leaving; silent
        """,
        output());
  }

  @Test
  void entryThatDoesNotAnswerIsNamedAndTheExitCodeIsOne() {
    entries.answer("a:1", CONFIG, "{\"deployment\":\"d\",\"version\":\"0.9\"}");
    assertEquals(1, run("config"));
    assertTrue(output().contains("0.9"));
    assertEquals(
        "chivecross-admin: ADMINISTRATION at b:1: connection refused\n",
        err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void diffListsFieldsThatDifferBetweenEntries() {
    setVersionsInForce("0.9", "0.9");
    entries
        .answer("a:1", TARGETS, TARGET.formatted(2, "1.0", ""))
        .answer("b:1", TARGETS, TARGET.formatted(0, "0.0", "\"leaving\""));
    assertEquals(1, run("diff"));
    assertEquals(
        """
        view     row          field    a:1  b:1
        targets  10.0.0.1:80  weight   1.0  0.0
        targets  10.0.0.1:80  reasons       leaving
        """,
        output());
  }

  @Test
  void diffWithoutDifferencesExitsWithZero() {
    setVersionsInForce("0.9", "0.9");
    entries
        .answer("a:1", TARGETS, TARGET.formatted(2, "1.0", ""))
        .answer("b:1", TARGETS, TARGET.formatted(7, "1.0", ""))
        .answer("a:1", "/admin/v1/members", "[{\"incarnation\":\"1\",\"state\":\"dead\"}]");
    assertEquals(0, run("diff"));
    assertEquals("no differences between 2 entries\n", output());
  }

  @Test
  void waitEndsWhenTheVersionIsInForceEverywhere() {
    setVersionsInForce("0.9", "0.8");
    assertEquals(0, run("wait", "--version", "0.9", "--timeout", "20s"));
    assertEquals("version 0.9 in force at 2 entries after 600 ms\n", output());
  }

  @Test
  void waitThatTimesOutNamesTheOutdatedEntries() {
    setVersionsInForce("0.8", "0.8");
    assertEquals(1, run("wait", "--version=9", "--timeout", "1s"));
    assertEquals("version 0.9 not in force at 1 of 2 entries after 1000 ms\n", output());
    assertEquals("chivecross-admin: a:1: version 0.8\n", err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void waitEndsAtOnceWhenTheVersionWasRefused() {
    setVersionsInForce("0.8", "0.8");
    entries.answer(
        "a:1",
        CONFIG,
        "{\"version\":\"0.8\",\"refused\":{\"version\":\"0.9\",\"errors\":[\"a.yaml: wrong\"]}}");
    assertEquals(1, run("wait", "--version=9", "--timeout", "1s"));
    assertEquals("version 0.9 not in force at 2 of 2 entries after 0 ms\n", output());
    assertTrue(
        err.toString(StandardCharsets.UTF_8)
            .contains("a:1: version 0.8, refused 0.9: a.yaml: wrong\n"));
  }

  @Test
  void histogramsOfAllEntriesAreSummed() {
    String metrics =
        """
        # TYPE x_seconds histogram
        x_seconds_bucket{tenant="t",le="0.001"} 10
        x_seconds_bucket{tenant="t",le="0.01"} 49
        x_seconds_bucket{tenant="t",le="+Inf"} 50
        x_seconds_count{tenant="t"} 50
        y_seconds_bucket{le="+Inf"} 1
        """;
    entries.answer("a:1", "/metrics", metrics).answer("b:1", "/metrics", metrics);
    assertEquals(0, run("histograms", "x_"));
    assertEquals(
        """
        x_seconds{tenant="t"}  count 100  p50 <=10.000 ms  p99 <=more  p99.9 <=more
          <=     1.000 ms         20 ############
          <=    10.000 ms         78 ##################################################
          <=         more          2 #
        """,
        output());
  }

  @Test
  void badSettingsExitWithTwo() {
    assertEquals(2, run("everything"));
    assertEquals(2, run("key"));
    assertEquals(2, run("wait", "--timeout", "soon"));
    assertEquals(2, run("targets", "--admin-entries", "nowhere"));
    assertEquals(4, err.toString(StandardCharsets.UTF_8).lines().count());
  }

  @Test
  void versionFlagWithoutWaitPrintsTheProgramVersion() {
    assertEquals(0, run("--version"));
    assertTrue(output().startsWith("chivecross-admin "));
  }

  /** Guards against a status of the where command that scripts can't rely on. */
  @Test
  void statusSaysWhetherATargetWouldBeChosen() {
    entries.answer(
        "a:1", "/explain?host=h&path=%2Fp&bytes=0", EXPLANATION.formatted("place", "t1"));
    entries.answer(
        "b:1",
        "/explain?host=h&path=%2Fp&bytes=7&deadline_ms=90",
        EXPLANATION.formatted("wait", ""));
    assertEquals(0, run("where", "--entry", "a:1", "--host", "h", "--path", "/p"));
    String text = out.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("place on t1: d") && text.contains("slow"), text);
    String[] waiting = {
      "where", "--entry", "b:1", "--host", "h", "--path", "/p", "--bytes", "7", "--json"
    };
    List<String> withDeadline = new ArrayList<>(List.of(waiting));
    withDeadline.addAll(List.of("--deadline-ms", "90"));
    assertEquals(1, run(withDeadline.toArray(String[]::new)));
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("\"outcome\" : \"wait\""));
  }

  /** A script must not take a wrong call or a dead entry for a request that would wait. */
  @Test
  void wrongUsageAndUnreachableEntriesHaveTheirOwnStatus() {
    assertEquals(2, run("where", "--host", "h", "--path", "/p"));
    assertEquals(2, run("where", "--entry", "a:1", "--path", "/p"));
    assertEquals(2, run("where", "--entry", "a:1", "--host", "h", "--path", "p"));
    assertEquals(2, run("where", "--entry", "a", "--host", "h", "--path", "/p"));
    assertEquals(
        2, run("where", "--entry", "a:1", "--host", "h", "--path", "/p", "--bytes", "many"));
    assertEquals(2, run("where", "--entry", "a:1", "--host", "h", "--path", "/p"));
    assertInstanceOf(Result.Failed.class, new AdminClient("").text("a_b:99999", "/explain"));
    String text = err.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("--entry: got none") && text.contains("connection refused"), text);
  }
}
