package org.chivecross.cli.entry.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {

  private static final int PIPELINED_REQUESTS = 4000;

  private final AdminServer server =
      new AdminServer(AdminFixture.settings(AdminFixture.TOKEN), AdminFixture.views(2800));
  private final HttpClient client = HttpClient.newHttpClient();
  private InetSocketAddress address = new InetSocketAddress(0);

  @BeforeEach
  void start() throws IOException {
    address = server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  private HttpResponse<String> send(String method, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .header("Authorization", "Bearer " + AdminFixture.TOKEN)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void answersOverHttp() throws Exception {
    HttpResponse<String> page = send("GET", "/admin/v1/targets?offset=2799&limit=5");
    assertEquals(200, page.statusCode());
    assertEquals(
        "{\"total\":2800,\"offset\":2799,\"limit\":5,\"items\":[{\"number\":2799}]}", page.body());
    assertEquals("up 1\n", send("GET", "/metrics").body());
    assertEquals("", send("HEAD", "/metrics").body());
    HttpResponse<String> refused = send("DELETE", "/admin/v1/targets");
    assertEquals(405, refused.statusCode());
    assertEquals("GET, HEAD", refused.headers().firstValue("Allow").orElse(""));
  }

  @Test
  void keyWithEscapedCharactersIsDecodedOnce() throws Exception {
    HttpResponse<String> key = send("GET", "/admin/v1/keys/a%2525b");
    assertEquals(200, key.statusCode());
    assertEquals(true, key.body().contains("\"key\":\"a%25b\""), key.body());
  }

  @Test
  void clientThatReadsNothingIsDisconnectedAndDoesNotBlockOthers() throws Exception {
    byte[] request =
        ("GET /admin/v1/targets?limit=500 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + AdminFixture.TOKEN
                + "\r\n\r\n")
            .getBytes(StandardCharsets.UTF_8);
    int answerLength = send("GET", "/admin/v1/targets?limit=500").body().length();
    try (Socket silent = new Socket()) {
      silent.setReceiveBufferSize(4096);
      silent.connect(address);
      sendUntilClosed(silent, request);
      assertEquals(200, send("GET", "/health").statusCode());
      assertTrue(bytesLeft(silent) < (long) PIPELINED_REQUESTS * answerLength);
    }
  }

  private static void sendUntilClosed(Socket socket, byte[] request) {
    try {
      for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        socket.getOutputStream().write(request);
      }
    } catch (IOException e) {
      // The server closed the connection, as the test expects; the client socket itself stays open.
      assertFalse(socket.isClosed());
    }
  }

  private static long bytesLeft(Socket socket) {
    long total = 0;
    byte[] buffer = new byte[65_536];
    try {
      int n = socket.getInputStream().read(buffer);
      while (n >= 0) {
        total += n;
        n = socket.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      return total;
    }
    return total;
  }
}
