package org.chivecross.logic.fileset;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;

/**
 * No two rules claim the same request, and no method that is not idempotent is of class read.
 *
 * <p>A request belongs to the rule that names its host, or else to a rule for any host; among these
 * to the one with the longest path prefix. So two rules clash when host, path prefix and a method
 * are the same. Stateless.
 */
final class RuleCheck implements CrossFileCheck {

  private static final Set<String> NOT_IDEMPOTENT = Set.of("POST", "PATCH");

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    Map<String, String> firstClaim = new HashMap<>();
    for (ParsedFile<List<Rule>> file : set.rules()) {
      for (int i = 0; i < file.value().size(); i++) {
        Rule rule = file.value().get(i);
        String item = FieldPath.item("rules", i);
        claims(file, item, rule, firstClaim, problems);
        if (rule.requestClass() == RequestClass.READ) {
          readMethods(file, item, rule, problems);
        }
      }
    }
  }

  private static void claims(
      ParsedFile<?> file,
      String item,
      Rule rule,
      Map<String, String> firstClaim,
      ProblemLog problems) {
    for (String method : new TreeSet<>(rule.methods())) {
      if (method.isEmpty() || rule.host().isEmpty() || rule.pathPrefix().isEmpty()) {
        continue;
      }
      String claim = method + " " + rule.host() + rule.pathPrefix();
      String first = firstClaim.putIfAbsent(claim, file.file() + " line " + file.line(item));
      if (first != null) {
        problems.add(
            file.file(),
            file.line(item),
            item,
            "a second rule for " + claim,
            "one rule for each host, path prefix and method (first in " + first + ")");
      }
    }
  }

  private static void readMethods(ParsedFile<?> file, String item, Rule rule, ProblemLog problems) {
    for (String method : new TreeSet<>(rule.methods())) {
      if (NOT_IDEMPOTENT.contains(method)) {
        String field = FieldPath.field(item, "requestClass");
        problems.add(
            file.file(),
            file.line(field),
            field,
            "read for " + method,
            "write or upload, since " + method + " is not idempotent and a read may run again");
      }
    }
  }
}
