package org.chivecross.cli.entry.http;

import java.util.Map;

/**
 * A request that this entry answers itself. Immutable.
 *
 * @param method HTTP method in upper case
 * @param path path without query
 * @param query parameters of the query, decoded; the first value of each name
 * @param callerAddress IP address of the caller
 */
public record LocalRequest(
    String method, String path, Map<String, String> query, String callerAddress) {
  public LocalRequest {
    query = Map.copyOf(query);
  }
}
