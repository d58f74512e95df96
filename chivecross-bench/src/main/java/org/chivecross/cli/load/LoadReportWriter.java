package org.chivecross.cli.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes a load report as a table, as JSON and as a plot. Stateless. */
final class LoadReportWriter {

  private static final String HEADER_FORMAT = "%-26s %8s %8s %8s %8s %8s %9s %9s %9s %9s %7s%n";
  private static final String ROW_FORMAT =
      "%-26s %8d %8d %8d %8d %8d %9.2f %9.2f %9.2f %9.2f %7.2f%n";
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 99.99};
  private static final int CHART_WIDTH = 900;
  private static final int CHART_HEIGHT = 500;
  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private LoadReportWriter() {}

  /** Prints the report as a table; latencies are in ms from the intended start. */
  static void print(LoadReport report, PrintStream out) {
    out.printf(
        Locale.ROOT,
        HEADER_FORMAT,
        "service/class",
        "sent",
        "answered",
        "not-run",
        "unknown",
        "expired",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms",
        "spread");
    for (Map.Entry<String, LoadReport.Row> entry : report.rows().entrySet()) {
      LoadReport.Row row = entry.getValue();
      out.printf(
          Locale.ROOT,
          ROW_FORMAT,
          entry.getKey(),
          row.sent(),
          row.count(Verdict.ANSWERED),
          row.count(Verdict.NOT_RUN),
          row.count(Verdict.UNKNOWN),
          row.count(Verdict.EXPIRED),
          row.percentileMillis(50),
          row.percentileMillis(99),
          row.percentileMillis(99.9),
          row.percentileMillis(100),
          row.spread());
    }
    out.printf(Locale.ROOT, "missing %d, damaged answers %d%n", report.missing(), report.damaged());
  }

  /** Writes the report as JSON. */
  static void writeJson(LoadReport report, Path file) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode root = mapper.createObjectNode();
    for (Map.Entry<String, LoadReport.Row> entry : report.rows().entrySet()) {
      LoadReport.Row row = entry.getValue();
      ObjectNode node = root.putObject(entry.getKey());
      node.put("sent", row.sent());
      for (Verdict verdict : Verdict.values()) {
        node.put(verdict.name().toLowerCase(Locale.ROOT), row.count(verdict));
      }
      node.put("resent", row.resent());
      node.put("damaged", row.damaged());
      for (double percentile : PERCENTILES) {
        node.put("p" + percentile + "Millis", row.percentileMillis(percentile));
      }
      node.put("spread", row.spread());
    }
    mapper.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), root);
  }

  /** Plots the latency of each row against the percentile, up to 99.99 %. */
  static void plot(LoadReport report, Path file) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(CHART_WIDTH)
            .height(CHART_HEIGHT)
            .title("Latency from the intended start")
            .xAxisTitle("nines of the percentile")
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setYAxisLogarithmic(true);
    for (Map.Entry<String, LoadReport.Row> entry : report.rows().entrySet()) {
      Histogram latency = entry.getValue().latency();
      if (latency.getTotalCount() == 0) {
        continue;
      }
      List<Double> nines = new ArrayList<>();
      List<Double> millis = new ArrayList<>();
      for (double nine = 0; nine <= 4; nine += 0.05) {
        double percentile = 100 * (1 - Math.pow(10, -nine));
        nines.add(nine);
        millis.add(Math.max(0.01, latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI));
      }
      chart
          .addSeries(entry.getKey(), nines, millis)
          .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
