package org.chivecross.cli.entry.admin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.chivecross.model.failure.Result;

/** Settings, requests and views with a given number of rows for tests of the API. */
final class AdminFixture {

  static final String TOKEN = "0123456789abcdef-token";

  private AdminFixture() {}

  record Row(int number) {}

  static List<Row> rows(int count) {
    return IntStream.range(0, count).mapToObj(Row::new).toList();
  }

  static AdminViews views(int rows) {
    return new AdminViews(
        () -> ReadinessStatus.of(rows == 0 ? List.of("no file set in force") : List.of()),
        () ->
            new ConfigStatus(
                "pulpwood",
                "0.12",
                "2026-12-03T00:00:00Z",
                3,
                30,
                new ConfigStatus.RefusedConfig(
                    "0.13", "2026-12-03T00:00:01Z", List.of("rules/a.yaml: line 1: wrong"))),
        () -> rows(rows),
        () -> rows(3),
        () -> rows(3),
        () -> rows(2),
        () -> rows(rows),
        key -> new KeyStatus(key, "finished", 201, "", ""),
        out -> out.write("up 1\n".getBytes(StandardCharsets.UTF_8)));
  }

  static AdminSettings settings(String token) {
    Result<AdminSettings> settings = AdminSettings.of(new InetSocketAddress("127.0.0.1", 0), token);
    return ((Result.Success<AdminSettings>) settings).value();
  }

  static AdminRequest get(String path, Map<String, List<String>> query) {
    return new AdminRequest("GET", path, query, "Bearer " + TOKEN);
  }
}
