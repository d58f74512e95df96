package org.chivecross.cli.entry.http;

import java.nio.ByteBuffer;
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
   * @param body what was received of the body when the request starts; its position is not kept
   */
  static long of(HttpRequestPacket request, Buffer body) {
    String query = request.getQueryString();
    String head =
        HeaderText.of(request.getMethodDC())
            + ' '
            + RequestHeads.host(request)
            + request.getRequestURI()
            + '?'
            + (query == null ? "" : query);
    CRC32C checksum = new CRC32C();
    if (body.hasRemaining()) {
      ByteBuffer bytes = body.toByteBuffer();
      bytes.limit(bytes.position() + Math.min(bytes.remaining(), MAX_BODY_BYTES));
      checksum.update(bytes);
    }
    long length = Math.max(body.remaining(), request.getContentLength());
    return RendezvousHash.weight(
        RendezvousHash.of(head), (length << Integer.SIZE) ^ checksum.getValue());
  }
}
