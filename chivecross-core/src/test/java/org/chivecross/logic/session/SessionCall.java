package org.chivecross.logic.session;

import org.chivecross.model.fileset.RequestClass;

/** One request as its caller sees it. */
final class SessionCall {

  final String id;
  final RequestClass requestClass;
  final String key;
  boolean isWaiting = true;

  SessionCall(String id, RequestClass requestClass, String key) {
    this.id = id;
    this.requestClass = requestClass;
    this.key = key;
  }
}
