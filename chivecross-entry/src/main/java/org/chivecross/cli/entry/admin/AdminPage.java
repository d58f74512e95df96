package org.chivecross.cli.entry.admin;

import java.util.List;

/**
 * Page of a list. Immutable.
 *
 * @param total number of rows in the list
 * @param offset number of rows before this page
 * @param limit maximum number of rows in this page
 * @param items rows of this page
 */
record AdminPage(int total, int offset, int limit, List<? extends Record> items) {

  static AdminPage of(List<? extends Record> rows, PageRequest request) {
    return new AdminPage(rows.size(), request.offset(), request.limit(), request.rowsFrom(rows));
  }
}
