package org.chivecross.logic.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Replays recorded sessions and compares every line. {@code -Dchivecross.sessions.renew=true}
 * rewrites the files; review the difference before committing it.
 */
class GoldenSessionTest {

  private static final Path DIRECTORY = Path.of("src", "test", "resources", "sessions");
  private static final boolean RENEW = Boolean.getBoolean("chivecross.sessions.renew");
  private static final Pattern TARGET = Pattern.compile("(\\bt|target )([0-9]+)\\b");
  private static final int MIN_SESSIONS = 12;

  @TestFactory
  List<DynamicTest> replaysSessions() throws IOException {
    try (Stream<Path> files = Files.list(DIRECTORY)) {
      List<Path> sessions = files.sorted().toList();
      assertTrue(sessions.size() >= MIN_SESSIONS, sessions.size() + " sessions");
      return sessions.stream()
          .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> replay(file)))
          .toList();
    }
  }

  private static void replay(Path file) throws IOException {
    List<String> recorded = Files.readAllLines(file);
    StringBuilder replayed = new StringBuilder();
    VirtualFleet fleet = new VirtualFleet(DeploymentFixture.setup(deployment(recorded), 2));
    int shown = 0;
    for (String line : recorded) {
      if (line.startsWith("#")) {
        replayed.append(line).append('\n');
      }
      if (line.startsWith("> ")) {
        fleet.apply(line.substring(2));
        List<String> lines = fleet.recorder().lines();
        lines.subList(shown, lines.size()).forEach(one -> replayed.append(one).append('\n'));
        shown = lines.size();
      }
    }
    fleet.violations().forEach(one -> replayed.append("violation: ").append(one).append('\n'));
    replayed.append(fleet.isSettled() ? "settled\n" : "not settled\n");
    String text = withTargetsNumbered(replayed.toString());
    if (RENEW) {
      Files.writeString(file, text);
    }
    assertEquals(Files.readString(file), text, file + " differs");
  }

  /** Renumbers targets in order of first use, as the choice among equivalent ones is arbitrary. */
  private static String withTargetsNumbered(String text) {
    Map<String, Integer> numbers = new HashMap<>();
    return TARGET
        .matcher(text)
        .replaceAll(
            match -> {
              int number = numbers.computeIfAbsent(match.group(2), row -> numbers.size() + 1);
              return match.group(1) + number;
            });
  }

  private static String deployment(List<String> lines) {
    String first = lines.get(0);
    return first.substring(first.lastIndexOf(' ') + 1);
  }
}
