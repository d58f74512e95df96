package org.chivecross.logic.routing;

import org.chivecross.model.fileset.RequestClass;

/**
 * Service and class of a request.
 *
 * @param service row of the service
 * @param requestClass class of the request
 * @param deadlineMillis default deadline of the class, in ms
 */
public record Route(int service, RequestClass requestClass, long deadlineMillis) {

  /** Returns whether a request may run more than once. */
  public boolean isIdempotent() {
    return requestClass == RequestClass.READ;
  }
}
