import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. Stateless. */
final class Http {

  private static final int MAX_LINE_BYTES = 64 * 1024;

  private Http() {}

  /** First line and fields of a message; the names are in lower case. */
  record Head(String line, Map<String, String> fields) {

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(line.split(" ", 3)[1]);
    }

    String method() {
      return line.split(" ", 3)[0];
    }

    String path() {
      return line.split(" ", 3)[1];
    }
  }

  /** A response and the bytes of its body. */
  record Response(Head head, byte[] body) {

    int status() {
      return head.status();
    }
  }

  /** Reads a head; returns null at the end of the stream. */
  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    while (true) {
      String field = readLine(in);
      if (field == null) {
        throw new EOFException("end of the stream within a head");
      }
      if (field.isEmpty()) {
        return new Head(line, fields);
      }
      int colon = field.indexOf(':');
      fields.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
    }
  }

  /** Reads the body of a request. */
  static byte[] readRequestBody(InputStream in, Head head) throws IOException {
    return hasFraming(head) ? readBody(in, head) : new byte[0];
  }

  /** Reads a whole response; returns null if the stream ends before its first byte. */
  static Response readResponse(InputStream in) throws IOException {
    Head head = readHead(in);
    if (head == null) {
      return null;
    }
    int status = head.status();
    boolean hasNoBody = status < 200 || status == 204 || status == 304;
    return new Response(head, hasNoBody ? new byte[0] : readBody(in, head));
  }

  private static boolean hasFraming(Head head) {
    return !head.field("content-length").isEmpty() || isChunked(head);
  }

  private static boolean isChunked(Head head) {
    return head.field("transfer-encoding").equalsIgnoreCase("chunked");
  }

  private static byte[] readBody(InputStream in, Head head) throws IOException {
    if (isChunked(head)) {
      return readChunks(in);
    }
    if (head.field("content-length").isEmpty()) {
      return in.readAllBytes();
    }
    return readExactly(in, Integer.parseInt(head.field("content-length")));
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("end of the stream within chunks");
      }
      int size = Integer.parseInt(line.split(";", 2)[0].strip(), 16);
      body.writeBytes(readExactly(in, size));
      String end = readLine(in);
      if (end == null) {
        throw new EOFException("end of the stream within chunks");
      }
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("body ends after " + bytes.length + " of " + count + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("end of the stream within a line");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
      if (line.size() > MAX_LINE_BYTES) {
        throw new IOException("line is too long");
      }
    }
  }
}
