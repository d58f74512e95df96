package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;

/** Request codec that leaves content codings alone. Safe for use by many threads. */
final class StrictServerFilter extends HttpServerFilter {

  private static final int UNLIMITED = -1;

  StrictServerFilter(DataPathSettings settings) {
    super(
        true,
        settings.maxHeadBytes(),
        null,
        keepAlive(),
        null,
        settings.maxHeaders(),
        settings.maxHeaders());
    setAllowPayloadForUndefinedHttpMethods(true);
    for (ContentEncoding encoding : getContentEncodings()) {
      removeContentEncoding(encoding);
    }
  }

  private static KeepAlive keepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setIdleTimeoutInSeconds(UNLIMITED);
    keepAlive.setMaxRequestsCount(UNLIMITED);
    return keepAlive;
  }
}
