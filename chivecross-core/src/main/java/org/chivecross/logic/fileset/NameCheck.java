package org.chivecross.logic.fileset;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.chivecross.model.fileset.DataCentreLink;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/** Checks that every name and address is defined once and every used name is defined. Stateless. */
final class NameCheck implements CrossFileCheck {

  @Override
  public void check(ParsedFileSet set, ProblemLog problems) {
    checkUnique(set.tenants(), Tenant::name, "tenant", problems);
    checkUnique(set.services(), Service::name, "service", problems);
    set.deployment().ifPresent(file -> checkDataCentres(file, problems));
    checkOwners(set, problems);
    checkRuleServices(set, problems);
    set.deployment().ifPresent(file -> checkDataCentresOfTargetGroups(set, file.value(), problems));
    checkAddresses(set, problems);
  }

  private static <T> void checkUnique(
      List<ParsedFile<T>> files, Function<T, String> name, String kind, ProblemLog problems) {
    Map<String, String> firstFile = new HashMap<>();
    for (ParsedFile<T> file : files) {
      String value = name.apply(file.value());
      String first = value.isEmpty() ? null : firstFile.putIfAbsent(value, file.file());
      if (first != null) {
        problems.add(
            file.file(),
            file.line("name"),
            "name",
            kind + " " + value + " again",
            "each " + kind + " once (first in " + first + ")");
      }
    }
  }

  private static void checkDataCentres(ParsedFile<Deployment> file, ProblemLog problems) {
    List<String> names = file.value().dataCentres();
    Set<String> defined = new HashSet<>();
    for (int i = 0; i < names.size(); i++) {
      if (!names.get(i).isEmpty() && !defined.add(names.get(i))) {
        String field = FieldPath.item("dataCentres", i);
        problems.add(
            file.file(), file.line(field), field, names.get(i) + " again", "each data centre once");
      }
    }
    Set<Set<String>> linked = new HashSet<>();
    List<DataCentreLink> links = file.value().links();
    for (int i = 0; i < links.size(); i++) {
      DataCentreLink link = links.get(i);
      String field = FieldPath.item("links", i);
      checkDefined(file, FieldPath.field(field, "from"), link.from(), defined, problems);
      checkDefined(file, FieldPath.field(field, "to"), link.to(), defined, problems);
      if (link.from().isEmpty() || link.to().isEmpty()) {
        continue;
      }
      if (link.from().equals(link.to()) || !linked.add(Set.of(link.from(), link.to()))) {
        problems.add(
            file.file(),
            file.line(field),
            field,
            "a link from " + link.from() + " to " + link.to(),
            "one link for each pair of data centres");
      }
    }
  }

  private static void checkOwners(ParsedFileSet set, ProblemLog problems) {
    Set<String> tenants =
        set.tenants().stream().map(file -> file.value().name()).collect(Collectors.toSet());
    for (ParsedFile<Service> file : set.services()) {
      checkDefined(file, "owner", file.value().owner(), tenants, problems);
    }
  }

  private static void checkRuleServices(ParsedFileSet set, ProblemLog problems) {
    Map<String, Service> services = new HashMap<>();
    set.services().forEach(file -> services.put(file.value().name(), file.value()));
    for (ParsedFile<List<Rule>> file : set.rules()) {
      for (int i = 0; i < file.value().size(); i++) {
        Rule rule = file.value().get(i);
        String item = FieldPath.item("rules", i);
        checkDefined(
            file, FieldPath.field(item, "service"), rule.service(), services.keySet(), problems);
        Service service = services.get(rule.service());
        if (service != null && !service.classes().containsKey(rule.requestClass())) {
          String field = FieldPath.field(item, "requestClass");
          problems.add(
              file.file(),
              file.line(field),
              field,
              ClassNames.of(rule.requestClass()),
              "a class of service " + rule.service() + ": " + ClassNames.of(service));
        }
      }
    }
  }

  private static void checkDataCentresOfTargetGroups(
      ParsedFileSet set, Deployment deployment, ProblemLog problems) {
    Set<String> defined = new HashSet<>(deployment.dataCentres());
    for (ParsedFile<Service> file : set.services()) {
      List<TargetGroup> groups = file.value().targets();
      for (int i = 0; i < groups.size(); i++) {
        String field = FieldPath.field(FieldPath.item("targets", i), "dataCentre");
        checkDefined(file, field, groups.get(i).dataCentre(), defined, problems);
      }
    }
  }

  private static void checkAddresses(ParsedFileSet set, ProblemLog problems) {
    Map<String, String> firstUse = new HashMap<>();
    for (ParsedFile<Service> file : set.services()) {
      List<TargetGroup> groups = file.value().targets();
      for (int i = 0; i < groups.size(); i++) {
        String list = FieldPath.field(FieldPath.item("targets", i), "addresses");
        List<String> addresses = groups.get(i).addresses();
        for (int j = 0; j < addresses.size(); j++) {
          String field = FieldPath.item(list, j);
          String first =
              addresses.get(j).isEmpty()
                  ? null
                  : firstUse.putIfAbsent(addresses.get(j), file.file() + " " + field);
          if (first != null) {
            problems.add(
                file.file(),
                file.line(field),
                field,
                addresses.get(j) + " again",
                "each address once (first at " + first + ")");
          }
        }
      }
    }
  }

  private static void checkDefined(
      ParsedFile<?> file, String field, String name, Set<String> defined, ProblemLog problems) {
    if (name.isEmpty() || defined.contains(name)) {
      return;
    }
    Set<String> choices = new TreeSet<>(defined);
    choices.remove("");
    problems.add(
        file.file(),
        file.line(field),
        field,
        '"' + name + '"',
        choices.isEmpty() ? "a name that the set defines; it defines none" : Quoting.list(choices));
  }
}
