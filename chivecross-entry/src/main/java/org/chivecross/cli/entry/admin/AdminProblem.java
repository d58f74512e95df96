package org.chivecross.cli.entry.admin;

/**
 * Problem details as defined by RFC 9457. Immutable.
 *
 * @param type always {@code about:blank}
 * @param title reason phrase of the status
 * @param status HTTP status
 * @param detail description of the problem
 */
record AdminProblem(String type, String title, int status, String detail) {

  static AdminProblem of(int status, String title, String detail) {
    return new AdminProblem("about:blank", title, status, detail);
  }
}
