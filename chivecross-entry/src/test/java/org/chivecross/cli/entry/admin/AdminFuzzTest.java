package org.chivecross.cli.entry.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * For random requests, answers have an expected status and a bounded size, and only public paths
 * are answered without the token.
 */
class AdminFuzzTest {

  private static final Set<Integer> STATUSES = Set.of(200, 400, 401, 404, 405, 503);
  private static final Set<String> PUBLIC_PATHS = Set.of("/health", "/ready");

  private final AdminRoutes routes =
      new AdminRoutes(AdminFixture.settings(AdminFixture.TOKEN), AdminFixture.views(2_000));
  private final JsonMapper mapper = JsonMapper.builder().build();

  @Provide
  Arbitrary<AdminRequest> requests() {
    Arbitrary<String> methods =
        Arbitraries.frequencyOf(
            Tuple.of(6, Arbitraries.just("GET")),
            Tuple.of(1, Arbitraries.of("HEAD", "POST", "get", "GET ", "", "DELETE")));
    Arbitrary<String> paths =
        Arbitraries.oneOf(
            Arbitraries.of(List.copyOf(AdminRoutes.PATHS)),
            Arbitraries.strings().ofMaxLength(300).map(key -> "/admin/v1/keys/" + key),
            Arbitraries.strings().ofMaxLength(40).map(path -> "/" + path));
    Arbitrary<String> values =
        Arbitraries.oneOf(
            Arbitraries.integers().map(String::valueOf),
            Arbitraries.of("0", "1", "500", "501", "+1", "01", "1e3", "٣", "", " 1", "0x1"),
            Arbitraries.strings().ofMaxLength(12));
    Arbitrary<Map<String, List<String>>> queries =
        Arbitraries.maps(
                Arbitraries.oneOf(
                    Arbitraries.of("offset", "limit"), Arbitraries.strings().ofMaxLength(6)),
                values.list().ofMinSize(1).ofMaxSize(2))
            .ofMaxSize(3);
    Arbitrary<String> authorizations =
        Arbitraries.oneOf(
            Arbitraries.just("Bearer " + AdminFixture.TOKEN),
            Arbitraries.strings().ofMaxLength(30).map(token -> "Bearer " + token),
            Arbitraries.strings().ofMaxLength(30));
    return Combinators.combine(methods, paths, queries, authorizations).as(AdminRequest::new);
  }

  @Property(tries = 1000, seed = "20261205")
  void everyRequestGetsABoundedAnswer(@ForAll("requests") AdminRequest request) throws IOException {
    AdminAnswer answer = routes.answer(request);
    assertTrue(STATUSES.contains(answer.status()), request + " gave " + answer.status());
    boolean authorized = request.authorization().equals("Bearer " + AdminFixture.TOKEN);
    if (!authorized && !PUBLIC_PATHS.contains(request.path())) {
      assertTrue(answer.status() == 401 || answer.status() == 405, request.toString());
    }
    if (answer.contentType().startsWith("application/")) {
      JsonNode body = mapper.readTree(answer.body());
      assertTrue(body.path("items").size() <= PageRequest.MAX_LIMIT, request.toString());
    }
    assertEquals(
        request.method().equals("GET") || request.method().equals("HEAD"),
        answer.status() != 405,
        request.toString());
  }
}
