package org.chivecross.cli.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

class JsonLinesWriterTest {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final JsonLinesWriter writer =
      new JsonLinesWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8)::println);

  @Test
  void entryIsOneLineWithStepAndPeer() throws IOException {
    writer.write(
        new LogEntry(
            RuntimeProvider.createTimestamp(),
            Thread.currentThread(),
            Map.of("step", "CONNECT", "peer", "127.0.0.1:1"),
            "org.example.Sender",
            "send",
            "Sender.java",
            1,
            null,
            Level.ERROR,
            "two\nlines and \"quotes\"",
            new IOException("refused")));
    String text = bytes.toString(StandardCharsets.UTF_8);
    assertEquals(1, text.lines().count());
    JsonNode line = JsonMapper.builder().build().readTree(text);
    assertEquals("CONNECT", line.get("step").textValue());
    assertEquals("127.0.0.1:1", line.get("peer").textValue());
    assertEquals("two\nlines and \"quotes\"", line.get("message").textValue());
    assertTrue(line.get("exception").textValue().contains("refused"));
  }
}
