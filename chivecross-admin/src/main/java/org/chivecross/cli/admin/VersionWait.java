package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * The wait command: polls until a version, or a newer one, is in force at every entry. Ends early
 * if an entry has refused that version or a newer one, because all entries make the same check. Not
 * thread-safe.
 */
final class VersionWait {

  private static final long POLL_MILLIS = 200;

  private final AdminPreferences preferences;
  private final EntrySource source;
  private final EntryReader reader;
  private final WaitClock clock;
  private final PrintStream out;
  private final PrintStream err;
  private boolean isVersionRefused;

  VersionWait(
      AdminPreferences preferences,
      EntrySource source,
      EntryReader reader,
      WaitClock clock,
      PrintStream out,
      PrintStream err) {
    this.preferences = preferences;
    this.source = source;
    this.reader = reader;
    this.clock = clock;
    this.out = out;
    this.err = err;
  }

  /** Returns 0 if the version is in force at every entry, 1 after a timeout or a refusal. */
  int run() {
    long start = clock.nanos();
    long deadline = start + TimeUnit.MILLISECONDS.toNanos(preferences.timeoutMillis());
    Map<String, String> outdated = findOutdatedEntries();
    while (!outdated.isEmpty() && !isVersionRefused && clock.nanos() < deadline) {
      clock.sleepMillis(POLL_MILLIS);
      outdated = findOutdatedEntries();
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - start);
    int entries = preferences.entries().size();
    if (outdated.isEmpty()) {
      out.println(
          "version "
              + preferences.version()
              + " in force at "
              + entries
              + " entries after "
              + millis
              + " ms");
      return ProgramLauncher.SUCCESS;
    }
    outdated.forEach((entry, state) -> err.println("chivecross-admin: " + entry + ": " + state));
    out.println(
        "version "
            + preferences.version()
            + " not in force at "
            + outdated.size()
            + " of "
            + entries
            + " entries after "
            + millis
            + " ms");
    return ProgramLauncher.FAILURE;
  }

  /** Returns the state or failure of each entry at which the version is not in force. */
  private Map<String, String> findOutdatedEntries() {
    Map<String, String> outdated = new TreeMap<>();
    Map<String, Result<JsonNode>> answers =
        reader.readResults(entry -> source.object(entry, "/admin/v1/config"));
    for (Map.Entry<String, Result<JsonNode>> answer : answers.entrySet()) {
      if (answer.getValue() instanceof Result.Failed<JsonNode> failed) {
        outdated.put(answer.getKey(), failed.failures().get(0).detail());
      }
      if (answer.getValue() instanceof Result.Success<JsonNode> success) {
        String inForce = success.value().path("version").asText("0");
        ConfigVersion version = VersionText.parse(inForce);
        if (preferences.version().isNewerThan(version)) {
          JsonNode refused = success.value().path("refused");
          ConfigVersion refusedVersion = VersionText.parse(refused.path("version").asText());
          isVersionRefused |=
              refused.isObject() && !preferences.version().isNewerThan(refusedVersion);
          outdated.put(answer.getKey(), "version " + inForce + refusalText(refused));
        }
      }
    }
    return outdated;
  }

  private static String refusalText(JsonNode refused) {
    if (!refused.isObject()) {
      return "";
    }
    return ", refused "
        + refused.path("version").asText()
        + ": "
        + refused.path("errors").path(0).asText();
  }
}
