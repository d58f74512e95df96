package org.chivecross.cli.entry.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdminRoutesTest {

  private final AdminRoutes routes =
      new AdminRoutes(AdminFixture.settings(AdminFixture.TOKEN), AdminFixture.views(1234));

  private JsonNode json(AdminAnswer answer) throws IOException {
    return JsonMapper.builder().build().readTree(answer.body());
  }

  @ParameterizedTest
  @ValueSource(strings = {"POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "get"})
  void otherMethodsThanGetAndHeadAreRefused(String method) {
    AdminRequest request =
        new AdminRequest(method, "/admin/v1/config", Map.of(), "Bearer " + AdminFixture.TOKEN);
    assertEquals(405, routes.answer(request).status());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "Bearer", "Bearer wrong", "Basic 0123456789abcdef-token", "0123456789abcdef"})
  void allPathsExceptHealthAndReadinessNeedTheToken(String authorization) {
    for (String template : AdminRoutes.PATHS) {
      String path = template.replace("{key}", "a-1");
      boolean isPublic = path.equals("/health") || path.equals("/ready");
      AdminRequest request = new AdminRequest("GET", path, Map.of(), authorization);
      assertEquals(isPublic ? 200 : 401, routes.answer(request).status(), path);
    }
  }

  @ParameterizedTest
  @CsvSource({"0,1,1", "0,500,500", "1200,500,34", "5000,10,0"})
  void pagesAreBounded(String offset, String limit, int rows) throws IOException {
    JsonNode page =
        json(
            routes.answer(
                AdminFixture.get(
                    "/admin/v1/targets",
                    Map.of("offset", List.of(offset), "limit", List.of(limit)))));
    assertEquals(1234, page.get("total").intValue());
    assertEquals(rows, page.get("items").size());
  }

  @Test
  void pageWithoutParametersHasTheDefaultLimit() throws IOException {
    JsonNode page = json(routes.answer(AdminFixture.get("/admin/v1/decisions", Map.of())));
    assertEquals(PageRequest.DEFAULT_LIMIT, page.get("items").size());
  }

  @ParameterizedTest
  @CsvSource({"limit,0", "limit,501", "limit,many", "limit,-1", "offset,9999999999", "size,1"})
  void invalidQueryParameterIsRefused(String name, String value) throws IOException {
    AdminAnswer answer =
        routes.answer(AdminFixture.get("/admin/v1/targets", Map.of(name, List.of(value))));
    assertEquals(400, answer.status());
    assertTrue(json(answer).get("detail").textValue().contains("allowed"));
  }

  @Test
  void keysAreLookedUp() throws IOException {
    JsonNode key = json(routes.answer(AdminFixture.get("/admin/v1/keys/abc-1", Map.of())));
    assertEquals("finished", key.get("state").textValue());
    assertEquals(400, routes.answer(AdminFixture.get("/admin/v1/keys/", Map.of())).status());
    assertEquals(404, routes.answer(AdminFixture.get("/admin/v2/config", Map.of())).status());
  }

  @Test
  void readinessOfUnreadyEntryListsTheReasons() throws IOException {
    AdminRoutes unready =
        new AdminRoutes(AdminFixture.settings(AdminFixture.TOKEN), AdminFixture.views(0));
    AdminAnswer answer = unready.answer(new AdminRequest("GET", "/ready", Map.of(), ""));
    assertEquals(503, answer.status());
    assertEquals("no file set in force", json(answer).get("reasons").get(0).textValue());
  }

  @Test
  void failingViewGivesInternalServerError() {
    AdminViews good = AdminFixture.views(1);
    AdminViews broken =
        new AdminViews(
            good.readiness(),
            good.config(),
            () -> {
              throw new IllegalStateException("broken on purpose");
            },
            good.members(),
            good.services(),
            good.tenants(),
            good.decisions(),
            good.key(),
            good.metrics());
    AdminRoutes failing = new AdminRoutes(AdminFixture.settings(AdminFixture.TOKEN), broken);
    assertEquals(500, failing.answer(AdminFixture.get("/admin/v1/targets", Map.of())).status());
  }

  @Test
  void addressBeyondLoopbackNeedsAToken() {
    InetSocketAddress anyInterface = new InetSocketAddress("0.0.0.0", 0);
    assertInstanceOf(Result.Failed.class, AdminSettings.of(anyInterface, ""));
    assertInstanceOf(Result.Failed.class, AdminSettings.of(anyInterface, "short"));
    assertInstanceOf(Result.Success.class, AdminSettings.of(anyInterface, AdminFixture.TOKEN));
  }
}
