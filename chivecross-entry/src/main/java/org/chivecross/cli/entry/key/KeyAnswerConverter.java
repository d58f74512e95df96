package org.chivecross.cli.entry.key;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.model.peer.HeaderField;
import org.chivecross.model.peer.KeyAnswer;

/** Converts between responses to callers and answers to other entries. Stateless. */
final class KeyAnswerConverter {

  private static final String CONTENT_TYPE = "Content-Type";

  private KeyAnswerConverter() {}

  static KeyAnswer toPeer(LocalResponse response) {
    List<HeaderField> fields = new ArrayList<>();
    fields.add(new HeaderField(CONTENT_TYPE, response.contentType()));
    response.headers().forEach((name, value) -> fields.add(new HeaderField(name, value)));
    return new KeyAnswer(response.status(), fields, response.body());
  }

  static LocalResponse toCaller(KeyAnswer answer) {
    Map<String, String> headers = new LinkedHashMap<>();
    String contentType = "application/json";
    for (HeaderField field : answer.headers()) {
      if (field.name().equalsIgnoreCase(CONTENT_TYPE)) {
        contentType = field.value();
      } else {
        headers.put(field.name(), field.value());
      }
    }
    return new LocalResponse(answer.status(), headers, contentType, answer.body());
  }
}
