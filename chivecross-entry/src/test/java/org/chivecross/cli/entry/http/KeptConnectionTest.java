package org.chivecross.cli.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests behind a response with a status after which the library closes connections. */
class KeptConnectionTest {

  /**
   * Guards against a request that runs behind a response that announces the end of its connection:
   * its caller takes it for unread and sends it again.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"500 a", "501 a", "503 a", "505 a", "400 a", "408 a", "411 a", "413 a", "414 a"})
  void failureInAPipelineDoesNotAnnounceACloseThatLaterRequestsSurvive(String status)
      throws IOException {
    try (ScriptedUpstream upstream =
            new ScriptedUpstream(
                call ->
                    call.reply(
                        call.head().contains("/write/1")
                            ? "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno"
                            : ScriptedUpstream.OK));
        DataPathFixture entry = DataPathFixture.to(upstream);
        Socket socket = entry.connect()) {
      String requests = post("/write/1", "X-A: b") + post("/write/2", "Connection: close");
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
      String answers =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

      int firstEnd = answers.indexOf("\r\n\r\n");
      String firstHead = answers.substring(0, firstEnd).toLowerCase(Locale.ROOT);
      assertTrue(firstHead.startsWith("http/1.1 " + status.substring(0, 3)), answers);
      assertFalse(firstHead.contains("connection: close"), answers);
      assertTrue(answers.endsWith("\r\n\r\nok"), answers);
      assertEquals(2, upstream.callCount());
    }
  }

  private static String post(String path, String header) {
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + header + "\r\n\r\n";
  }
}
