package org.chivecross.logic.settings;

import java.lang.reflect.AnnotatedElement;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Fills the annotated fields of an options object from flags and environment variables.
 *
 * <p>Each flag has an environment variable: {@code --peer-port} has {@code CHIVECROSS_PEER_PORT}. A
 * flag takes precedence over its variable. The environment is passed in. Not thread-safe.
 */
public final class SettingsParser {

  private static final String VARIABLE_PREFIX = "CHIVECROSS_";
  private static final int HELP_COLUMN_WIDTH = 34;

  private final String program;
  private final Map<String, String> environment;

  /** Creates a parser for a program, whose name appears in the help text. */
  public SettingsParser(String program, Map<String, String> environment) {
    this.program = program;
    this.environment = Map.copyOf(environment);
  }

  /**
   * Sets the fields of {@code options}.
   *
   * @return the same object, or one failure with the setting, the given value and the allowed
   *     values
   */
  public <T> Result<T> parse(T options, List<String> arguments) {
    CmdLineParser parser = new CmdLineParser(options);
    List<String> all = new ArrayList<>();
    for (OptionHandler<?> handler : parser.getOptions()) {
      String flag = handler.option.toString();
      String value = environment.get(variableName(flag));
      if (value == null || handler.option.help() || isGiven(flag, arguments)) {
        continue;
      }
      if (!SettingCheck.isSwitch(handler)) {
        all.add(flag);
        all.add(value);
        continue;
      }
      if (!value.equals("true") && !value.equals("false")) {
        return Result.failed(
            Step.SETTINGS,
            Failure.LOCAL,
            variableName(flag) + ": got \"" + value + "\", allowed: true, false");
      }
      if (value.equals("true")) {
        all.add(flag);
      }
    }
    all.addAll(splitFlagsAndValues(arguments));
    Optional<String> problem = SettingCheck.firstProblem(parser, all);
    if (problem.isPresent()) {
      return Result.failed(Step.SETTINGS, Failure.LOCAL, problem.get());
    }
    try {
      parser.parseArgument(all);
    } catch (CmdLineException e) {
      return Result.failed(Step.SETTINGS, Failure.LOCAL, String.valueOf(e.getMessage()));
    }
    return Result.success(options);
  }

  private static List<String> splitFlagsAndValues(List<String> arguments) {
    List<String> separate = new ArrayList<>();
    for (String argument : arguments) {
      int equals = argument.startsWith("--") ? argument.indexOf('=') : -1;
      if (equals < 0) {
        separate.add(argument);
        continue;
      }
      separate.add(argument.substring(0, equals));
      separate.add(argument.substring(equals + 1));
    }
    return separate;
  }

  /** Returns the help text: each flag with its variable, meaning, unit and default. */
  public String help(Object options) {
    CmdLineParser parser = new CmdLineParser(options);
    StringBuilder text = new StringBuilder("usage: " + program + " [flags]");
    for (OptionHandler<?> argument : parser.getArguments()) {
      text.append(' ').append(argument.option.metaVar());
    }
    text.append("\n\n");
    for (OptionHandler<?> argument : parser.getArguments()) {
      text.append("  ").append(argument.option.metaVar()).append("\n      ");
      text.append(argument.option.usage()).append('\n');
    }
    for (OptionHandler<?> handler : parser.getOptions()) {
      String flag = handler.option.toString();
      String meta = SettingCheck.isSwitch(handler) ? "" : " " + handler.getMetaVariable(null);
      String variable = handler.option.help() ? "" : variableName(flag);
      text.append(String.format("  %-" + HELP_COLUMN_WIDTH + "s %s%n", flag + meta, variable));
      text.append("      ").append(handler.option.usage());
      if (isBounded(handler)) {
        text.append("; ").append(SettingCheck.allowed(handler));
      }
      String given = SettingCheck.isSwitch(handler) ? null : handler.printDefaultValue();
      if (given != null && !given.isEmpty()) {
        text.append(" (default ").append(given).append(')');
      }
      text.append('\n');
    }
    return text.toString();
  }

  /** Returns the environment variable of a flag. */
  public static String variableName(String flag) {
    String bare = flag.startsWith("--") ? flag.substring(2) : flag;
    return VARIABLE_PREFIX + bare.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private static boolean isGiven(String flag, List<String> arguments) {
    for (String argument : arguments) {
      if (argument.equals(flag) || argument.startsWith(flag + "=")) {
        return true;
      }
    }
    return false;
  }

  private static boolean isBounded(OptionHandler<?> handler) {
    AnnotatedElement field = handler.setter.asAnnotatedElement();
    return field.isAnnotationPresent(AllowedRange.class)
        || field.isAnnotationPresent(AllowedForm.class);
  }
}
