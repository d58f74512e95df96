package org.chivecross.logic.fileset;

import org.chivecross.model.fileset.TargetGroup;

/**
 * A set fits into the tables of an entry, also while the rows of a wholly replaced set are still
 * held. Stateless.
 */
final class SizeCheck implements CrossFileCheck {

  /** Most targets over all services. */
  static final int MAX_TARGETS = 4_096;

  /** Most services, and most tenants. */
  static final int MAX_SERVICES = 512;

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    long targets =
        set.services().stream()
            .flatMap(file -> file.value().targets().stream())
            .map(TargetGroup::addresses)
            .mapToLong(addresses -> addresses.size())
            .sum();
    atMost("services", targets, " targets", MAX_TARGETS, problems);
    atMost("services", set.services().size(), " services", MAX_SERVICES, problems);
    atMost("tenants", set.tenants().size(), " tenants", MAX_SERVICES, problems);
  }

  private static void atMost(
      String directory, long count, String what, int most, ProblemLog problems) {
    if (count > most) {
      problems.add(directory, 0, "", count + what, "at most " + most + what);
    }
  }
}
