package org.chivecross.cli.entry.admin;

import java.util.List;

/**
 * Part of a list. Immutable.
 *
 * @param total rows of the whole list
 * @param offset rows left out at the start
 * @param limit most rows of this answer
 * @param items rows of this answer
 */
record AdminPage(int total, int offset, int limit, List<? extends Record> items) {

  static AdminPage of(List<? extends Record> rows, PageRequest request) {
    return new AdminPage(rows.size(), request.offset(), request.limit(), request.rowsFrom(rows));
  }
}
