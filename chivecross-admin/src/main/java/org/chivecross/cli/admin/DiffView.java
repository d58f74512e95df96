package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Predicate;

/**
 * A view that entries should see alike, apart from their own counters. Immutable.
 *
 * @param name name of the view
 * @param key field that identifies a row
 * @param fields fields to compare
 * @param isCompared whether a row is compared
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
