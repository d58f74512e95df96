package org.chivecross.logic.fileset;

import org.chivecross.model.fileset.TargetGroup;

/**
 * Checks that a set fits into the tables of an entry, even while the tables still hold the rows of
 * a previous set of which every row was replaced. Stateless.
 */
final class SizeCheck implements CrossFileCheck {

  /** Maximum number of targets over all services. */
  static final int MAX_TARGETS = 4_096;

  /** Maximum number of services and maximum number of tenants. */
  static final int MAX_SERVICES_OR_TENANTS = 512;

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    long targets =
        set.services().stream()
            .flatMap(file -> file.value().targets().stream())
            .map(TargetGroup::addresses)
            .mapToLong(addresses -> addresses.size())
            .sum();
    checkCount("services", targets, " targets", MAX_TARGETS, problems);
    checkCount("services", set.services().size(), " services", MAX_SERVICES_OR_TENANTS, problems);
    checkCount("tenants", set.tenants().size(), " tenants", MAX_SERVICES_OR_TENANTS, problems);
  }

  private static void checkCount(
      String directory, long count, String unit, int max, ProblemLog problems) {
    if (count > max) {
      problems.add(directory, 0, "", count + unit, "at most " + max + unit);
    }
  }
}
