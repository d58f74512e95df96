package org.chivecross.cli.entry.admin;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;

/**
 * Requested page of a list. Immutable.
 *
 * @param offset number of rows to skip
 * @param limit maximum number of rows to return
 */
record PageRequest(int offset, int limit) {

  /** Maximum number of rows in one answer. */
  static final int MAX_LIMIT = 500;

  /** Maximum number of rows in one answer if the request does not state a limit. */
  static final int DEFAULT_LIMIT = 100;

  private static final int MAX_OFFSET = 1_000_000;
  private static final String OFFSET = "offset";
  private static final String LIMIT = "limit";
  private static final Set<String> PARAMETER_NAMES = Set.of(OFFSET, LIMIT);

  /**
   * Parses the query parameters.
   *
   * @param query values of the parameters by name
   */
  static Result<PageRequest> of(Map<String, List<String>> query) {
    for (String name : query.keySet()) {
      if (!PARAMETER_NAMES.contains(name)) {
        return failed("query", "an unknown parameter", OFFSET + ", " + LIMIT);
      }
    }
    return number(query, OFFSET, 0, MAX_OFFSET, 0)
        .flatMap(
            offset ->
                number(query, LIMIT, 1, MAX_LIMIT, DEFAULT_LIMIT)
                    .flatMap(limit -> Result.success(new PageRequest(offset, limit))));
  }

  /** Returns the rows of this page. */
  <T> List<T> rowsFrom(List<T> rows) {
    int from = Math.min(offset, rows.size());
    return rows.subList(from, Math.min(from + limit, rows.size()));
  }

  private static Result<Integer> number(
      Map<String, List<String>> query, String name, int min, int max, int defaultValue) {
    List<String> values = query.getOrDefault(name, List.of());
    if (values.isEmpty()) {
      return Result.success(defaultValue);
    }
    String allowed = "one whole number from " + min + " to " + max;
    if (values.size() > 1 || !values.get(0).matches("[0-9]{1,9}")) {
      return failed(name, "something else", allowed);
    }
    int value = Integer.parseInt(values.get(0));
    return value >= min && value <= max
        ? Result.success(value)
        : failed(name, String.valueOf(value), allowed);
  }

  private static <T> Result<T> failed(String name, String found, String allowed) {
    return Result.failed(
        Step.ROUTE, Failure.LOCAL, name + ": got " + found + ", allowed: " + allowed);
  }
}
