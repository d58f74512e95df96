package org.chivecross.logic.settings;

import java.lang.reflect.AnnotatedElement;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.spi.OptionHandler;

/** Checks the values of flags against the bounds on their fields. Stateless. */
final class SettingCheck {

  private SettingCheck() {}

  /** Returns what the flag allows. */
  static String allowed(OptionHandler<?> handler) {
    AnnotatedElement field = handler.setter.asAnnotatedElement();
    AllowedRange range = field.getAnnotation(AllowedRange.class);
    if (range != null) {
      return "a whole number from " + range.min() + " to " + range.max();
    }
    AllowedForm form = field.getAnnotation(AllowedForm.class);
    if (form != null) {
      return form.allowed();
    }
    return handler.option.metaVar().isEmpty()
        ? "a " + handler.setter.getType().getSimpleName()
        : handler.option.metaVar();
  }

  /** Returns one line about the first given value that its field doesn't allow. */
  static Optional<String> firstProblem(CmdLineParser parser, List<String> arguments) {
    for (OptionHandler<?> handler : parser.getOptions()) {
      String flag = handler.option.toString();
      for (int i = 0; i + 1 < arguments.size(); i++) {
        String value = arguments.get(i + 1);
        if (arguments.get(i).equals(flag) && !isAllowed(handler, value)) {
          return Optional.of(
              describe(flag) + ": got \"" + value + "\", allowed: " + allowed(handler));
        }
      }
    }
    return Optional.empty();
  }

  /** Returns the flag with its variable, for messages. */
  static String describe(String flag) {
    return flag + " (" + SettingsParser.variableName(flag) + ")";
  }

  private static boolean isAllowed(OptionHandler<?> handler, String value) {
    AnnotatedElement field = handler.setter.asAnnotatedElement();
    AllowedForm form = field.getAnnotation(AllowedForm.class);
    if (form != null) {
      return value.matches(form.pattern());
    }
    AllowedRange range = field.getAnnotation(AllowedRange.class);
    if (range != null) {
      return isWithin(range, value);
    }
    return !(handler.option instanceof NamedOptionDef && isNumber(handler)) || isWhole(value);
  }

  private static boolean isNumber(OptionHandler<?> handler) {
    Class<?> type = handler.setter.getType();
    return type == int.class || type == long.class;
  }

  private static boolean isWithin(AllowedRange range, String value) {
    if (!isWhole(value)) {
      return false;
    }
    long number = Long.parseLong(value);
    return number >= range.min() && number <= range.max();
  }

  private static boolean isWhole(String value) {
    return value.matches("-?[0-9]{1,18}");
  }
}
