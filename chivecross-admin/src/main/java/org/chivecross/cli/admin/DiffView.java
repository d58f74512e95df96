package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Predicate;

/**
 * A list of the administration API in which the compared fields should be equal at all entries;
 * counters of a single entry are not compared. Immutable.
 *
 * @param name name of the list
 * @param key field that identifies a row
 * @param fields fields to compare
 * @param isCompared selects the rows to compare
 */
record DiffView(String name, String key, List<String> fields, Predicate<JsonNode> isCompared) {

  static final List<DiffView> ALL =
      List.of(
          new DiffView("targets", "address", List.of("service", "weight", "reasons"), row -> true),
          new DiffView(
              "members",
              "incarnation",
              List.of("state", "ready", "leaving"),
              row -> !row.path("state").asText().equals("dead")),
          new DiffView(
              "services",
              "name",
              List.of("tenant", "targets", "limits.concurrency", "limits.ratePerSecond"),
              row -> true),
          new DiffView(
              "tenants",
              "name",
              List.of("weight", "limits.concurrency", "limits.ratePerSecond"),
              row -> true));

  DiffView {
    fields = List.copyOf(fields);
  }
}
