package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;

/** Response codec that leaves content codings alone. Safe for use by many threads. */
final class StrictClientFilter extends HttpClientFilter {

  StrictClientFilter(int maxHeadBytes) {
    super(maxHeadBytes);
    for (ContentEncoding encoding : getContentEncodings()) {
      removeContentEncoding(encoding);
    }
  }
}
