package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;

/**
 * The where command: asks one entry where it would send a request and prints the answer. Not
 * thread-safe.
 *
 * <p>Exit status: 0 if a target would be chosen, 1 if the request would wait, be refused or be
 * forwarded, 2 for invalid settings or an entry that can't be queried.
 */
final class PlacementQuery {

  private static final String PROGRAM = "chivecross-admin";

  private final ExplainedRequest request;
  private final EntrySource source;
  private final PrintStream out;
  private final PrintStream err;

  PlacementQuery(ExplainedRequest request, EntrySource source, PrintStream out, PrintStream err) {
    this.request = request;
    this.source = source;
    this.out = out;
    this.err = err;
  }

  /** Prints the explanation as JSON if {@code json} is set, otherwise as text. */
  int run(boolean json) {
    Optional<String> problem = request.problem();
    if (problem.isPresent()) {
      return fail("where: " + problem.get());
    }
    Result<JsonNode> answer = source.object(request.entry(), request.target());
    if (answer instanceof Result.Failed<JsonNode> failed) {
      Failure failure = failed.failures().get(0);
      return fail("where: " + failure);
    }
    JsonNode explanation = ((Result.Success<JsonNode>) answer).value();
    if (!explanation.path("outcome").isTextual()) {
      return fail("where: " + request.entry() + " sent no explanation");
    }
    if (json) {
      out.println(explanation.toPrettyString());
    } else {
      print(explanation);
    }
    return explanation.path("target").asText().isEmpty()
        ? ProgramLauncher.FAILURE
        : ProgramLauncher.SUCCESS;
  }

  private void print(JsonNode explanation) {
    String target = explanation.path("target").asText();
    out.println(
        "outcome    "
            + explanation.path("outcome").asText()
            + (target.isEmpty() ? "" : " on " + target)
            + ": "
            + explanation.path("detail").asText());
    if (explanation.path("route").asText().isEmpty()) {
      return;
    }
    out.println("route      " + explanation.path("route").asText());
    out.println("service    " + explanation.path("service").asText());
    out.println("pressure   " + explanation.path("admission").path("pressure").asText());
    out.println("admission  " + explanation.path("admission").path("decision").asText());
    out.println("deadline   " + explanation.path("deadlineMillis").asText() + " ms");
    out.println("nominal    " + explanation.path("nominalMillis").asText() + " ms");
    List<Map<String, String>> rows = new ArrayList<>();
    explanation.path("candidates").forEach(candidate -> rows.add(cells(candidate)));
    if (rows.isEmpty()) {
      out.println("no target of the service is registered");
      return;
    }
    out.print(TableText.draw(rows));
  }

  private static Map<String, String> cells(JsonNode candidate) {
    Map<String, String> cells = new LinkedHashMap<>();
    cells.put("chosen", candidate.path("chosen").asBoolean() ? "*" : "");
    cells.put("target", candidate.path("id").asText());
    cells.put("data centre", candidate.path("dataCentre").asText());
    cells.put("running", candidate.path("running").asText());
    cells.put("waiting", candidate.path("waiting").asText());
    cells.put("slots", candidate.path("slots").asText());
    cells.put("slowdown", candidate.path("slowdownPercent").asText() + " %");
    long age = candidate.path("reportAgeMillis").asLong();
    cells.put("report age", age < 0 ? "none" : age + " ms");
    cells.put("expected", candidate.path("expectedMillis").asText() + " ms");
    cells.put("ranking", candidate.path("rankingMillis").asText() + " ms");
    cells.put("reason", candidate.path("reason").asText());
    return cells;
  }

  private int fail(String message) {
    err.println(PROGRAM + ": " + message);
    return ProgramLauncher.BAD_SETTING;
  }
}
