package org.chivecross.logic.session;

import org.chivecross.model.fileset.RequestClass;

/** One call of a caller. */
final class SessionCall {

  final String id;
  final RequestClass requestClass;
  final String key;
  boolean waiting = true;

  SessionCall(String id, RequestClass requestClass, String key) {
    this.id = id;
    this.requestClass = requestClass;
    this.key = key;
  }
}
