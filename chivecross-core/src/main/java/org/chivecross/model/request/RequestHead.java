package org.chivecross.model.request;

import java.util.Optional;

/**
 * What the decisions need of a request head.
 *
 * @param method HTTP method in upper case
 * @param host host name without port, in lower case
 * @param path decoded path without query
 * @param deadlineMillis time left as the caller stated it, in ms; empty when it stated none
 * @param depth nesting of calls; 0 for a call from outside
 * @param idempotencyKey value of the {@code Idempotency-Key} header
 * @param hasBody whether a body follows
 * @param bodyBytes size of the body as far as it is known when the request starts
 * @param requestId name that the caller gave this try of its request; empty when it gave none
 */
public record RequestHead(
    String method,
    String host,
    String path,
    Optional<Long> deadlineMillis,
    int depth,
    Optional<String> idempotencyKey,
    boolean hasBody,
    long bodyBytes,
    String requestId) {

  /** Creates a head of a request whose body's size doesn't matter. */
  public RequestHead(
      String method,
      String host,
      String path,
      Optional<Long> deadlineMillis,
      int depth,
      Optional<String> idempotencyKey,
      boolean hasBody) {
    this(method, host, path, deadlineMillis, depth, idempotencyKey, hasBody, 0, "");
  }
}
