package org.chivecross.logic.request;

import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.request.RequestHead;

/**
 * Properties of a request that are fixed once it is routed. Immutable.
 *
 * @param route service and class
 * @param head head of the request
 * @param deadlineNanos monotonic time by which the caller needs the answer
 * @param claimedKey idempotency key that this request claimed; empty when it claimed none
 */
record RequestContext(
    Route route, RequestHead head, long deadlineNanos, Optional<String> claimedKey) {

  int service() {
    return route.service();
  }

  RequestClass requestClass() {
    return route.requestClass();
  }

  /** Returns whether the request may be sent to several targets. */
  boolean isIdempotent() {
    return route.requestClass() == RequestClass.READ;
  }
}
