package org.chivecross.cli.entry.admin;

import java.util.List;
import java.util.Map;

/**
 * Request to the administration API. Immutable.
 *
 * @param method HTTP method
 * @param path decoded path without query
 * @param query values of the query parameters by name
 * @param authorization value of the {@code Authorization} header, or ""
 */
record AdminRequest(
    String method, String path, Map<String, List<String>> query, String authorization) {}
