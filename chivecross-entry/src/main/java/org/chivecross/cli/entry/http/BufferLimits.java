package org.chivecross.cli.entry.http;

/**
 * Limits on the bytes that a data path buffers for callers and targets. Immutable.
 *
 * @param totalBytes bound on the bytes of all connections
 * @param readBytes bytes that are read at once; 0 for as many as the socket buffers
 * @param connectionBytes bytes of one connection from which the faster side is not read
 */
public record BufferLimits(long totalBytes, int connectionBytes, int readBytes) {

  private static final int DEFAULT_CONNECTION_BYTES = 256 * 1024;

  /** Returns limits that bound each connection and not their total. */
  public static BufferLimits perConnection() {
    return new BufferLimits(Long.MAX_VALUE / 2, DEFAULT_CONNECTION_BYTES, 0);
  }
}
