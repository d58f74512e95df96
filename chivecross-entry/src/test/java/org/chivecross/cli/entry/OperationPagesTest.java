package org.chivecross.cli.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivecross.cli.entry.metrics.EntryMetrics;
import org.chivecross.logic.settings.SettingsParser;
import org.junit.jupiter.api.Test;

/** Checks that the pages for operators list every flag and every metric. */
class OperationPagesTest {

  private static String page(String name) throws IOException {
    return Files.readString(Path.of("..", "docs", "operations", name));
  }

  @Test
  void everyFlagHasALineWithItsVariable() throws IOException {
    String help = new SettingsParser("chivecross-entry", Map.of()).help(new EntryOptions());
    String page = page("install-and-settings.md");
    Matcher flag = Pattern.compile("(?m)^  (--[a-z-]+).* (CHIVECROSS_[A-Z_]+)$").matcher(help);
    int flags = 0;
    while (flag.find()) {
      flags++;
      String line = "| `" + flag.group(1) + "` | `" + flag.group(2) + "` |";
      assertTrue(page.contains(line), flag.group(1));
    }
    assertTrue(flags > 0);
  }

  @Test
  void everyMetricHasALine() throws IOException {
    PrometheusRegistry registry = new PrometheusRegistry();
    assertTrue(new EntryMetrics(registry, row -> Optional.empty()) != null);
    String page = page("metrics.md");
    registry
        .scrape()
        .forEach(
            metric ->
                assertTrue(
                    page.contains("| `" + metric.getMetadata().getPrometheusName()),
                    metric.getMetadata().getPrometheusName()));
  }
}
