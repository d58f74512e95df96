package org.chivecross.cli.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivecross.logic.settings.ProgramLauncher;
import org.junit.jupiter.api.Test;

/** Tests the output and the exit status of the where command. */
class PlacementQueryTest {

  private static final String ANSWER =
      "{\"outcome\":\"%s\",\"detail\":\"d\",\"route\":\"r\",\"service\":\"s\",\"target\":\"%s\","
          + "\"candidates\":[{\"id\":\"t1\",\"reportAgeMillis\":-1,\"reason\":\"slow\"}]}";

  private final FakeEntries entries = new FakeEntries();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    PrintStream stdout = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream stderr = new PrintStream(err, true, StandardCharsets.UTF_8);
    List<String> all = new ArrayList<>(List.of("where"));
    all.addAll(List.of(arguments));
    return new ProgramLauncher("chivecross-admin", Map.of(), stdout, stderr)
        .launch(
            new AdminOptions(),
            all,
            options ->
                new AdminRun(options.toPreferences(), entries, WaitClock.SYSTEM, stdout, stderr)
                    .run());
  }

  @Test
  void statusSaysWhetherATargetWouldBeChosen() {
    entries.answer("a:1", "/explain?host=h&path=%2Fp&bytes=0", ANSWER.formatted("place", "t1"));
    entries.answer(
        "b:1", "/explain?host=h&path=%2Fp&bytes=7&deadline_ms=90", ANSWER.formatted("wait", ""));
    assertEquals(0, run("--entry", "a:1", "--host", "h", "--path", "/p"));
    String text = out.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("place on t1: d") && text.contains("slow"), text);
    String[] waiting = {"--entry", "b:1", "--host", "h", "--path", "/p", "--bytes", "7", "--json"};
    List<String> withDeadline = new ArrayList<>(List.of(waiting));
    withDeadline.addAll(List.of("--deadline-ms", "90"));
    assertEquals(1, run(withDeadline.toArray(String[]::new)));
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("\"outcome\" : \"wait\""));
  }

  /** A script must not take a wrong call or a dead entry for a request that would wait. */
  @Test
  void wrongUsageAndUnreachableEntriesHaveTheirOwnStatus() {
    assertEquals(2, run("--host", "h", "--path", "/p"));
    assertEquals(2, run("--entry", "a:1", "--path", "/p"));
    assertEquals(2, run("--entry", "a:1", "--host", "h", "--path", "p"));
    assertEquals(2, run("--entry", "a", "--host", "h", "--path", "/p"));
    assertEquals(2, run("--entry", "a:1", "--host", "h", "--path", "/p", "--bytes", "many"));
    assertEquals(2, run("--entry", "a:1", "--host", "h", "--path", "/p"));
    String text = err.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("--entry: got none") && text.contains("connection refused"), text);
  }
}
