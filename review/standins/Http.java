import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A head of HTTP/1.1 and the length of its body. */
final class Http {

  final String first;
  final Map<String, String> headers = new LinkedHashMap<>();

  private Http(String first) {
    this.first = first;
  }

  /** Reads a head; returns null at an orderly end before its first byte. */
  static Http readHead(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Http head = new Http(first);
    while (true) {
      String line = line(in);
      if (line == null) {
        throw new EOFException("end within a head");
      }
      if (line.isEmpty()) {
        return head;
      }
      int colon = line.indexOf(':');
      head.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  int status() {
    return Integer.parseInt(first.split(" ")[1]);
  }

  /** Reads a body with a length or in chunks and returns the number of its bytes. */
  long skipBody(InputStream in) throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      long total = 0;
      while (true) {
        long size = Long.parseLong(require(line(in)).split(";")[0].strip(), 16);
        if (size == 0) {
          while (!require(line(in)).isEmpty()) {}
          return total;
        }
        in.skipNBytes(size);
        total += size;
        line(in);
      }
    }
    long length = Long.parseLong(headers.getOrDefault("content-length", "0"));
    in.skipNBytes(length);
    return length;
  }

  private static String require(String line) throws IOException {
    if (line == null) {
      throw new EOFException("end within a body");
    }
    return line;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      if (b == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(b);
    }
  }
}
