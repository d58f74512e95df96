package org.chivecross.cli.experiment.latency;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;

/**
 * Counters of an entry at one moment. Immutable.
 *
 * @param allocatedBytes bytes that its threads have allocated
 * @param requests requests that are over
 */
record EntryCounters(double allocatedBytes, double requests) {

  /** Reads the counters from the administration API; zeros when the address is empty. */
  static EntryCounters read(String admin) throws IOException, InterruptedException {
    if (admin.isEmpty()) {
      return new EntryCounters(0, 0);
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + admin + "/metrics")).build();
    String text = HttpClient.newHttpClient().send(request, BodyHandlers.ofString()).body();
    return new EntryCounters(
        sum(text, "chivecross_allocated_bytes_total"), sum(text, "chivecross_requests_total"));
  }

  /** Returns the bytes allocated for each request since an earlier moment. */
  double bytesPerRequestSince(EntryCounters earlier) {
    double more = requests - earlier.requests;
    return more == 0 ? 0 : (allocatedBytes - earlier.allocatedBytes) / more;
  }

  private static double sum(String text, String metric) {
    return text.lines()
        .filter(line -> line.startsWith(metric))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
        .sum();
  }
}
