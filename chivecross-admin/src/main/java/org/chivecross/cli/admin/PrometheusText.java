package org.chivecross.cli.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Extracts histograms from metrics in the Prometheus text format. Stateless. */
final class PrometheusText {

  private static final Pattern BUCKET_LINE =
      Pattern.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)_bucket\\{(.*)\\} ([0-9.eE+]+)");
  private static final Pattern BOUND_LABEL = Pattern.compile("(?:^|,)le=\"([^\"]+)\"");

  private PrometheusText() {}

  /**
   * Adds the buckets of the histograms in a text to the counts in {@code histograms}.
   *
   * @param nameFilter text that the name of a histogram must contain
   * @param histograms cumulative counts by upper bound, by name with labels
   */
  static void addHistograms(
      String text, String nameFilter, Map<String, Map<Double, Long>> histograms) {
    for (String line : text.split("\n")) {
      Matcher bucket = BUCKET_LINE.matcher(line);
      if (!bucket.matches() || !bucket.group(1).contains(nameFilter)) {
        continue;
      }
      Matcher bound = BOUND_LABEL.matcher(bucket.group(2));
      if (!bound.find()) {
        continue;
      }
      String labels = BOUND_LABEL.matcher(bucket.group(2)).replaceAll("");
      double upper =
          bound.group(1).equals("+Inf")
              ? Double.POSITIVE_INFINITY
              : Double.parseDouble(bound.group(1));
      histograms
          .computeIfAbsent(bucket.group(1) + "{" + labels + "}", name -> new TreeMap<>())
          .merge(upper, (long) Double.parseDouble(bucket.group(3)), Long::sum);
    }
  }
}
