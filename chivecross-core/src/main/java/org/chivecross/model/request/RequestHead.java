package org.chivecross.model.request;

import java.util.Optional;

/**
 * Properties of a request head on which decisions depend.
 *
 * @param method HTTP method in upper case
 * @param host host name without port, in lower case
 * @param path decoded path without query
 * @param deadlineMillis remaining time stated by the caller, in ms; empty when it stated none
 * @param depth nesting depth of the call; 0 for an external call
 * @param idempotencyKey value of the {@code Idempotency-Key} header
 * @param hasBody whether a body follows
 * @param bodyBytes size of the body as far as it is known when the request starts
 * @param requestId id that the caller gave this attempt of its request; empty when it gave none
 * @param forwardedBy entry that forwarded the request; empty for one that a caller sent here
 * @param fingerprint hash of the content of the request, the same for each of its attempts and at
 *     each entry
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
    String requestId,
    Optional<ForwardedBy> forwardedBy,
    long fingerprint) {

  /** Creates the head of a request whose content is not compared with that of others. */
  public RequestHead(
      String method,
      String host,
      String path,
      Optional<Long> deadlineMillis,
      int depth,
      Optional<String> idempotencyKey,
      boolean hasBody,
      long bodyBytes,
      String requestId,
      Optional<ForwardedBy> forwardedBy) {
    this(
        method,
        host,
        path,
        deadlineMillis,
        depth,
        idempotencyKey,
        hasBody,
        bodyBytes,
        requestId,
        forwardedBy,
        0);
  }

  /** Creates the head of a request that a caller sent here. */
  public RequestHead(
      String method,
      String host,
      String path,
      Optional<Long> deadlineMillis,
      int depth,
      Optional<String> idempotencyKey,
      boolean hasBody,
      long bodyBytes,
      String requestId) {
    this(
        method,
        host,
        path,
        deadlineMillis,
        depth,
        idempotencyKey,
        hasBody,
        bodyBytes,
        requestId,
        Optional.empty());
  }

  /** Creates a head without body size and request id. */
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
