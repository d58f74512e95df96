package org.chivecross.cli.history;

/** Headers by which the load tool tells the upstream stand-in what to do. */
public final class StandinHeaders {

  /** Identity of a call; a re-sent copy has another one. */
  public static final String REQUEST_ID = "Chivecross-Request-Id";

  /** Class of the request in lower case, for the history. */
  public static final String REQUEST_CLASS = "Standin-Class";

  /** Service time at normal speed, in µs. */
  public static final String WORK_MICROS = "Standin-Work-Micros";

  /** Length of the answer's body in bytes. */
  public static final String BODY_BYTES = "Standin-Body-Bytes";

  /** On an answer: length of the request body as received, in bytes. */
  public static final String RECEIVED_BYTES = "Standin-Received-Bytes";

  /** On an answer: digest of the request body as received. */
  public static final String RECEIVED_DIGEST = "Standin-Received-Digest";

  /** On an answer: address of the target. */
  public static final String TARGET = "Standin-Target";

  private StandinHeaders() {}
}
