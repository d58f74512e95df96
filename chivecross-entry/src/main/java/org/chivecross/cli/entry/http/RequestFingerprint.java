package org.chivecross.cli.entry.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import org.chivecross.logic.membership.RendezvousHash;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * Computes a hash of the content of a request: method, host, path, query and the beginning of the
 * body. Repeats of a request have the same hash at each entry, whatever their ids. Stateless.
 */
final class RequestFingerprint {

  /** Bytes of a body that are compared; a longer body is told apart by its announced length. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * @param body what was received of the body when the request starts; its positions are not kept
   */
  static long of(HttpRequestPacket request, List<Buffer> body) {
    String query = request.getQueryString();
    String head =
        HeaderText.of(request.getMethodDC())
            + ' '
            + RequestHeads.host(request)
            + request.getRequestURI()
            + '?'
            + (query == null ? "" : query);
    CRC32C checksum = new CRC32C();
    long received = 0;
    for (Buffer part : body) {
      ByteBuffer bytes = part.toByteBuffer();
      long compared = Math.min(bytes.remaining(), Math.max(0, MAX_BODY_BYTES - received));
      bytes.limit(bytes.position() + (int) compared);
      checksum.update(bytes);
      received += part.remaining();
    }
    long length = Math.max(received, request.getContentLength());
    return RendezvousHash.weight(
        RendezvousHash.of(head), (length << Integer.SIZE) ^ checksum.getValue());
  }
}
