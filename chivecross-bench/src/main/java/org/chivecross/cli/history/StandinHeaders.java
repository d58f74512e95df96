package org.chivecross.cli.history;

/** Headers by which the load tool tells the upstream stand-in what to do. */
public final class StandinHeaders {

  /** Identity of the request; all copies of it carry the same. */
  public static final String REQUEST_ID = "Standin-Request-Id";

  /** Service time at normal speed, in µs. */
  public static final String WORK_MICROS = "Standin-Work-Micros";

  /** Length of the answer's body in bytes. */
  public static final String BODY_BYTES = "Standin-Body-Bytes";

  /** On an answer: length of the request body as received, in bytes. */
  public static final String RECEIVED_BYTES = "Standin-Received-Bytes";

  /** On an answer: CRC-32C of the request body as received, in hex. */
  public static final String RECEIVED_CHECKSUM = "Standin-Received-Checksum";

  /** On an answer: address of the target. */
  public static final String TARGET = "Standin-Target";

  private StandinHeaders() {}
}
