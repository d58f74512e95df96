package org.chivecross.logic.settings;

import java.lang.reflect.AnnotatedElement;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.spi.OptionHandler;

/** Validates command line arguments against the annotations of the option fields. Stateless. */
final class SettingCheck {

  private SettingCheck() {}

  /** Returns a description of the values that a flag allows. */
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

  /**
   * Returns an error message for the first invalid argument: an unknown flag, a flag without a
   * value, or a value that the flag doesn't allow.
   */
  static Optional<String> firstProblem(CmdLineParser parser, List<String> arguments) {
    Map<String, OptionHandler<?>> handlers = new TreeMap<>();
    for (OptionHandler<?> handler : parser.getOptions()) {
      handlers.put(handler.option.toString(), handler);
    }
    int i = 0;
    while (i < arguments.size()) {
      String flag = arguments.get(i);
      i++;
      OptionHandler<?> handler = handlers.get(flag);
      if (handler == null && flag.startsWith("--")) {
        return Optional.of(
            flag + ": got an unknown flag, allowed: " + String.join(", ", handlers.keySet()));
      }
      if (handler == null || isSwitch(handler)) {
        continue;
      }
      String given = i < arguments.size() ? '"' + arguments.get(i) + '"' : "no value";
      if (i == arguments.size() || !isAllowed(handler, arguments.get(i))) {
        return Optional.of(describe(flag) + ": got " + given + ", allowed: " + allowed(handler));
      }
      i++;
    }
    return Optional.empty();
  }

  /** Returns whether the flag takes no value. */
  static boolean isSwitch(OptionHandler<?> handler) {
    return handler.option instanceof NamedOptionDef && handler.setter.getType() == boolean.class;
  }

  /** Returns the flag with its environment variable, for error messages. */
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
    return !(handler.option instanceof NamedOptionDef && isNumber(handler)) || isWholeNumber(value);
  }

  private static boolean isNumber(OptionHandler<?> handler) {
    Class<?> type = handler.setter.getType();
    return type == int.class || type == long.class;
  }

  private static boolean isWithin(AllowedRange range, String value) {
    if (!isWholeNumber(value)) {
      return false;
    }
    long number = Long.parseLong(value);
    return number >= range.min() && number <= range.max();
  }

  private static boolean isWholeNumber(String value) {
    return value.matches("-?[0-9]{1,18}");
  }
}
