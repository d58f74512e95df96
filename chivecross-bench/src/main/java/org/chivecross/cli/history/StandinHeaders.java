package org.chivecross.cli.history;

/** HTTP headers that the load generator and the upstream stand-in exchange. */
public final class StandinHeaders {

  /** Request id; each attempt of a request has its own. */
  public static final String REQUEST_ID = "Chivecross-Request-Id";

  /** Request class in lower case, for the history. */
  public static final String REQUEST_CLASS = "Standin-Class";

  /** Service time at nominal speed, in µs. */
  public static final String WORK_MICROS = "Standin-Work-Micros";

  /** Length of the response body, in bytes. */
  public static final String BODY_BYTES = "Standin-Body-Bytes";

  /** In a response: length of the received request body, in bytes. */
  public static final String RECEIVED_BYTES = "Standin-Received-Bytes";

  /** In a response: digest of the received request body. */
  public static final String RECEIVED_DIGEST = "Standin-Received-Digest";

  /** In a response: address of the target. */
  public static final String TARGET = "Standin-Target";

  private StandinHeaders() {}
}
