package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.tinylog.Logger;

/** Passes parts of responses to the user of their connection. Safe for use by many threads. */
final class UpstreamFilter extends BaseFilter {

  private final UpstreamRegistry upstreams;

  UpstreamFilter(UpstreamRegistry upstreams) {
    this.upstreams = upstreams;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    Optional<UpstreamUser> user = upstreams.userOf(context.getConnection());
    if (user.isEmpty()) {
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    upstreams.recordActivity(context.getConnection(), System.nanoTime());
    if (content instanceof HttpBrokenContent broken) {
      upstreams.closeMalformed(context.getConnection(), broken.getException());
      return context.getStopAction();
    }
    try {
      if (user.get().received(content) || !user.get().suspendReader(context)) {
        return context.getStopAction();
      }
    } catch (RuntimeException | StackOverflowError e) {
      Logger.error(e, "response could not be handled because of an unexpected error");
      user.get().failedUnexpectedly();
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    return context.getSuspendAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    upstreams.closeMalformed(context.getConnection(), error);
  }
}
