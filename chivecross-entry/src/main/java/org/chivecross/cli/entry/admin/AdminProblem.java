package org.chivecross.cli.entry.admin;

/**
 * Problem body after RFC 9457. Immutable.
 *
 * @param type always {@code about:blank}
 * @param title short text of the status
 * @param status HTTP status
 * @param detail what was wrong
 */
record AdminProblem(String type, String title, int status, String detail) {

  static AdminProblem of(int status, String title, String detail) {
    return new AdminProblem("about:blank", title, status, detail);
  }
}
