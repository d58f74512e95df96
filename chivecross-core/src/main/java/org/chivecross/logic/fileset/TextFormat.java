package org.chivecross.logic.fileset;

import java.util.regex.Pattern;

/**
 * Format of a text field. Immutable.
 *
 * @param pattern pattern that the complete text must match
 * @param allowedDescription description of the format for messages
 */
record TextFormat(Pattern pattern, String allowedDescription) {

  private static final int MAX_LENGTH = 253;
  private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
  private static final String PORT =
      "(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])";

  /** Name of a deployment, data centre, tenant or service. */
  static final TextFormat NAME =
      of("[a-z][a-z0-9-]{0,62}", "a name of a-z, 0-9 and -, at most 63 long, starting with a-z");

  /** Address of a target. */
  static final TextFormat ADDRESS =
      of(
          "(?!0\\.)(?:" + OCTET + "\\.){3}" + OCTET + ":" + PORT,
          "an IPv4 number and a port from 1 to 65535, such as 10.0.0.1:8080");

  /** Host of a rule. */
  static final TextFormat HOST =
      of(
          "\\*|[a-z0-9](?:[a-z0-9-]*[a-z0-9])?(?:\\.[a-z0-9](?:[a-z0-9-]*[a-z0-9])?)*",
          "a host name in lower case without port, or \"*\"");

  /** Path prefix of a rule. */
  static final TextFormat PATH =
      of(
          "/|(?:/(?!\\.\\.?(?:/|$))[A-Za-z0-9._~-]+)+",
          "a path such as /slots, of segments of A-Z, a-z, 0-9, '.', '_', '~' and '-', without a"
              + " closing /");

  boolean matches(String text) {
    return text.length() <= MAX_LENGTH && pattern.matcher(text).matches();
  }

  private static TextFormat of(String pattern, String allowed) {
    return new TextFormat(Pattern.compile(pattern), allowed);
  }
}
