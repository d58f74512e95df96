package org.chivecross.logic.fileset;

import java.util.Locale;
import java.util.stream.Collectors;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Service;

/** Names of request classes as written in file sets. Stateless. */
final class ClassNames {

  private ClassNames() {}

  static String of(RequestClass requestClass) {
    return requestClass.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the names of the classes that a service accepts, joined by commas. */
  static String of(Service service) {
    return service.classes().keySet().stream()
        .sorted()
        .map(ClassNames::of)
        .collect(Collectors.joining(", "));
  }
}
