package org.chivecross.logic.fileset;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;

/**
 * Checks that no two rules match the same requests with equal precedence, and that rules of class
 * read have only idempotent methods.
 *
 * <p>Rules for the host of a request take precedence over rules for any host; among these the one
 * with the longest path prefix applies. So two rules conflict when they share host, path prefix and
 * a method. Stateless.
 */
final class RuleCheck implements CrossFileCheck {

  private static final Set<String> NON_IDEMPOTENT_METHODS = Set.of("POST", "PATCH");

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    Map<String, String> firstRuleByMatch = new HashMap<>();
    for (ParsedFile<List<Rule>> file : set.rules()) {
      for (int i = 0; i < file.value().size(); i++) {
        Rule rule = file.value().get(i);
        String item = FieldPath.item("rules", i);
        checkUniqueMatch(file, item, rule, firstRuleByMatch, problems);
        if (rule.requestClass() == RequestClass.READ) {
          checkReadMethods(file, item, rule, problems);
        }
      }
    }
  }

  private static void checkUniqueMatch(
      ParsedFile<?> file,
      String item,
      Rule rule,
      Map<String, String> firstRuleByMatch,
      ProblemLog problems) {
    for (String method : new TreeSet<>(rule.methods())) {
      if (method.isEmpty() || rule.host().isEmpty() || rule.pathPrefix().isEmpty()) {
        continue;
      }
      String match = method + " " + rule.host() + rule.pathPrefix();
      String first = firstRuleByMatch.putIfAbsent(match, file.file() + " line " + file.line(item));
      if (first != null) {
        problems.add(
            file.file(),
            file.line(item),
            item,
            "a second rule for " + match,
            "one rule for each host, path prefix and method (first in " + first + ")");
      }
    }
  }

  private static void checkReadMethods(
      ParsedFile<?> file, String item, Rule rule, ProblemLog problems) {
    for (String method : new TreeSet<>(rule.methods())) {
      if (NON_IDEMPOTENT_METHODS.contains(method)) {
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
