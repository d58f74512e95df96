package org.chivecross.cli.experiment.latency;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;

/**
 * Snapshot of the counters of an entry. Immutable.
 *
 * @param allocatedBytes bytes allocated by the threads of the entry
 * @param requests number of finished requests
 */
record EntryCounters(double allocatedBytes, double requests) {

  /** Reads the counters from the administration API; returns zeros if the address is empty. */
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

  /** Returns the bytes allocated per finished request since an earlier snapshot. */
  double bytesPerRequestSince(EntryCounters earlier) {
    double newRequests = requests - earlier.requests;
    return newRequests == 0 ? 0 : (allocatedBytes - earlier.allocatedBytes) / newRequests;
  }

  private static double sum(String text, String metric) {
    return text.lines()
        .filter(line -> line.startsWith(metric))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
        .sum();
  }
}
