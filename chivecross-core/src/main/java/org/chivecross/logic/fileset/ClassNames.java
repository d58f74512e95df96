package org.chivecross.logic.fileset;

import java.util.Locale;
import java.util.stream.Collectors;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;

/** Names of request classes as file sets write them. Stateless. */
final class ClassNames {

  private ClassNames() {}

  static String of(RequestClass requestClass) {
    return requestClass.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the classes of a service. */
  static String of(Service service) {
    return service.classes().keySet().stream()
        .sorted()
        .map(ClassNames::of)
        .collect(Collectors.joining(", "));
  }
}
