package org.chivecross.cli.load;

import java.util.List;
import java.util.Locale;
import org.chivecross.model.fileset.RequestClass;

/**
 * Template of the requests that match one rule of a file set. Immutable.
 *
 * @param tenant tenant that owns the service
 * @param service name of the service
 * @param requestClass class of the request
 * @param method HTTP method
 * @param host value of the Host header
 * @param path path of the request
 * @param targets addresses of the service's targets
 */
record RequestKind(
    String tenant,
    String service,
    RequestClass requestClass,
    String method,
    String host,
    String path,
    List<String> targets) {

  /** Returns the request class in lower case, as in history files. */
  String className() {
    return requestClass.name().toLowerCase(Locale.ROOT);
  }
}
