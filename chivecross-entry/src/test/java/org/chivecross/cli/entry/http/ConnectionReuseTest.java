package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that concurrent callers on reused connections get the responses to their own requests. */
class ConnectionReuseTest {

  private static final int ROUNDS = 250;
  private static final int CONCURRENT_REQUESTS = 24;

  @Test
  void givesEachCallerItsOwnAnswer() throws Exception {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    try (ScriptedUpstream upstream =
            new ScriptedUpstream(
                call -> {
                  String path =
                      call.head().substring("GET ".length(), call.head().indexOf(" HTTP"));
                  call.reply(
                      "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
                });
        DataPathFixture entry = DataPathFixture.to(upstream)) {
      for (int round = 0; round < ROUNDS; round++) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
          HttpRequest request =
              HttpRequest.newBuilder(entry.uri("/read/" + round + "/" + i)).build();
          answers.add(client.sendAsync(request, BodyHandlers.ofString()));
        }
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
          HttpResponse<String> answer = answers.get(i).get();
          assertEquals("/read/" + round + "/" + i, answer.body());
        }
      }
      assertTrue(
          upstream.connectionCount() <= 2 * CONCURRENT_REQUESTS,
          "opened " + upstream.connectionCount());
    }
  }
}
