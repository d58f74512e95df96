package org.chivecross.cli.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.chivecross.cli.standin.platform.StoredValues.StoredValue;

/** Builds response bodies in the format of Consul's HTTP API. Stateless. */
final class PlatformAnswers {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformAnswers() {}

  static byte[] body(String key, StoredValue value) throws JsonProcessingException {
    if (key.equals(StoredValues.VMS_KEY)) {
      return value.content();
    }
    Map<String, Object> item =
        Map.of(
            "Key", key,
            "Value", Base64.getEncoder().encodeToString(value.content()),
            "ModifyIndex", value.revision());
    return MAPPER.writeValueAsBytes(List.of(item));
  }
}
