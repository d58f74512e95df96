package org.chivecross.logic.manifest;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.manifest.Manifest;
import org.junit.jupiter.api.Test;

class ManifestCodecTest {

  private static final byte[] CONTENT = "name: a\n".getBytes(StandardCharsets.UTF_8);

  private final ManifestCodec codec = new ManifestCodec();
  private final Manifest manifest = codec.describe("d", 3, Map.of("tenants/a.yaml", CONTENT));

  private static String detail(Result<Manifest> result) {
    return ((Result.Failed<Manifest>) assertInstanceOf(Result.Failed.class, result))
        .failures()
        .toString();
  }

  private Result<Manifest> readText(String json) {
    return codec.read(json.getBytes(StandardCharsets.UTF_8), "platform");
  }

  @Test
  void writtenManifestIsReadBack() {
    byte[] json = codec.write(manifest);
    assertEquals(Result.success(manifest), codec.read(json, "platform"));
    assertArrayEquals(json, codec.write(manifest));
  }

  @Test
  void valueOverOneMegabyteIsRefused() {
    Result<Manifest> result = codec.read(new byte[Manifest.MAX_VALUE_BYTES + 1], "platform");
    assertTrue(detail(result).contains("1000001 bytes"));
  }

  @Test
  void unknownFieldAndBadDigestAreRefused() {
    String json = new String(codec.write(manifest), StandardCharsets.UTF_8);
    assertTrue(detail(readText(json.replaceFirst("\\{", "{\"era\":1,"))).contains("era"));
    String digest = manifest.files().get(0).sha256();
    assertTrue(detail(readText(json.replace(digest, "12"))).contains("SHA-256"));
  }

  @Test
  void truncatedManifestIsRefused() {
    assertTrue(detail(readText("{\"format\":1")).contains("not readable"));
  }
}
