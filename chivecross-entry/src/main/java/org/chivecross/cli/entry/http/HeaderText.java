package org.chivecross.cli.entry.http;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.http.util.ByteChunk;
import org.glassfish.grizzly.http.util.DataChunk;

/**
 * Converts header text without the decoder and buffers that the library allocates on each call.
 * Stateless.
 */
final class HeaderText {

  private HeaderText() {}

  /** Returns the text of a chunk, byte by byte as ISO 8859-1. */
  static String of(DataChunk chunk) {
    if (chunk.getType() != DataChunk.Type.Bytes) {
      return chunk.toString();
    }
    ByteChunk bytes = chunk.getByteChunk();
    return new String(
        bytes.getBuffer(), bytes.getStart(), bytes.getLength(), StandardCharsets.ISO_8859_1);
  }
}
