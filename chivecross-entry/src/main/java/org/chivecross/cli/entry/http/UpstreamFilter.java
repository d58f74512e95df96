package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.chivecross.model.request.ConnectionFault;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Gives what targets send to the attempt that uses the connection. Safe for use by many threads.
 */
final class UpstreamFilter extends BaseFilter {

  private final UpstreamRegistry upstreams;

  UpstreamFilter(UpstreamRegistry upstreams) {
    this.upstreams = upstreams;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    Optional<Attempt> user = upstreams.attemptOn(context.getConnection());
    if (user.isEmpty()) {
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    upstreams.showedLife(context.getConnection(), System.nanoTime());
    Attempt attempt = user.get();
    if (content instanceof HttpBrokenContent) {
      attempt.exchange().attemptFailed(attempt, ConnectionFault.MALFORMED);
      return context.getStopAction();
    }
    if (attempt.exchange().responseContent(attempt, content) || !attempt.parkReader(context)) {
      return context.getStopAction();
    }
    return context.getSuspendAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    upstreams
        .attemptOn(context.getConnection())
        .ifPresent(attempt -> attempt.exchange().attemptFailed(attempt, ConnectionFault.MALFORMED));
    context.getConnection().terminateSilently();
  }
}
