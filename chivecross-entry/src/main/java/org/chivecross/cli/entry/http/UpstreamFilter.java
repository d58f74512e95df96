package org.chivecross.cli.entry.http;

import org.chivecross.model.request.ConnectionFault;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpBrokenContent;
import org.glassfish.grizzly.http.HttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Gives what targets send to the attempt that uses the connection. Safe for use by many threads.
 */
final class UpstreamFilter extends BaseFilter {

  private final Attribute<UpstreamConnection> attribute =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("chivecross.upstream");

  void attach(UpstreamConnection upstream) {
    attribute.set(upstream.connection(), upstream);
    upstream.connection().addCloseListener((closeable, type) -> closed(upstream));
    if (!upstream.isOpen()) {
      closed(upstream);
    }
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    UpstreamConnection upstream = attribute.get(context.getConnection());
    Attempt attempt = upstream == null ? null : upstream.attempt();
    if (upstream == null || attempt == null) {
      context.getConnection().terminateSilently();
      return context.getStopAction();
    }
    upstream.showedLife(System.nanoTime());
    if (content instanceof HttpBrokenContent) {
      attempt.exchange().attemptFailed(attempt, ConnectionFault.MALFORMED);
      return context.getStopAction();
    }
    boolean last = content.isLast();
    boolean more = attempt.exchange().responseContent(attempt, content);
    if (last) {
      context.addCompletionListener(done -> attempt.readingDone());
      return context.getStopAction();
    }
    if (more || !attempt.parkReader(context)) {
      return context.getStopAction();
    }
    return context.getSuspendAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    failAttempt(context.getConnection(), ConnectionFault.MALFORMED);
    context.getConnection().terminateSilently();
  }

  private void closed(UpstreamConnection upstream) {
    if (!upstream.markClosed()) {
      return;
    }
    upstream.pool().closed(upstream);
    Attempt attempt = upstream.attempt();
    if (attempt != null) {
      attempt.exchange().attemptFailed(attempt, ConnectionFault.CLOSED);
    }
  }

  private void failAttempt(@Nullable Connection<?> connection, ConnectionFault fault) {
    UpstreamConnection upstream = connection == null ? null : attribute.get(connection);
    Attempt attempt = upstream == null ? null : upstream.attempt();
    if (attempt != null) {
      attempt.exchange().attemptFailed(attempt, fault);
    }
  }
}
