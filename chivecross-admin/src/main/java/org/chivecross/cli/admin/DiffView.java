package org.chivecross.cli.admin;

import java.util.List;

/**
 * A view that entries should see alike, apart from their own counters. Immutable.
 *
 * @param name name of the view
 * @param key field that identifies a row
 * @param fields fields to compare
 */
record DiffView(String name, String key, List<String> fields) {

  static final List<DiffView> ALL =
      List.of(
          new DiffView("targets", "address", List.of("service", "weight", "reasons")),
          new DiffView("members", "incarnation", List.of("state", "ready", "leaving")),
          new DiffView(
              "services",
              "name",
              List.of("tenant", "targets", "limits.concurrency", "limits.ratePerSecond")),
          new DiffView(
              "tenants", "name", List.of("weight", "limits.concurrency", "limits.ratePerSecond")));

  DiffView {
    fields = List.copyOf(fields);
  }
}
