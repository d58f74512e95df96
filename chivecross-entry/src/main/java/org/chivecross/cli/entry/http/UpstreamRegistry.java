package org.chivecross.cli.entry.http;

import java.io.EOFException;
import java.util.Objects;
import java.util.Optional;
import org.chivecross.model.request.ConnectionFault;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Finds the user of each connection to a target. Safe for use by many threads. */
final class UpstreamRegistry {

  private final Attribute<UpstreamConnection> attribute =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("chivecross.upstream");
  private volatile boolean stopped;

  /** Reports the closes that follow as faults of this entry. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Adds an open connection; its close is reported to its user. */
  void add(UpstreamConnection upstream) {
    attribute.set(upstream.connection(), upstream);
    upstream.connection().addCloseListener((closeable, type) -> closed(upstream));
    if (!upstream.isOpen()) {
      closed(upstream);
    }
  }

  /** Returns the user of a connection, if it has one. */
  Optional<UpstreamUser> userOf(Connection<?> connection) {
    UpstreamConnection upstream = attribute.get(connection);
    return upstream == null ? Optional.empty() : Optional.ofNullable(upstream.user());
  }

  /** Returns a connection whose end must be confirmed, since a response ends with it. */
  Optional<UpstreamConnection> unconfirmedEnd(Connection<?> connection) {
    UpstreamConnection upstream = attribute.get(connection);
    boolean awaitsEnd = userOf(connection).filter(UpstreamUser::awaitsEndOfStream).isPresent();
    return awaitsEnd && !upstream.isEndConfirmed() ? Optional.of(upstream) : Optional.empty();
  }

  /** Closes a connection on which bytes arrived that are no response, and logs why they aren't. */
  void closeMalformed(Connection<?> connection, Throwable error) {
    // The library wraps the errors of its parser and of the guards before it.
    Throwable cause = error.getCause() == null ? error : error.getCause();
    String fault = Objects.requireNonNullElse(cause.getMessage(), cause.toString());
    Logger.info("malformed response from {}: {}", connection.getPeerAddress(), fault);
    // Reported before the close, which would count as an act of the target.
    userOf(connection).ifPresent(user -> user.failed(ConnectionFault.MALFORMED));
    connection.terminateSilently();
  }

  /** Records activity on a connection. */
  void recordActivity(Connection<?> connection, long nowNanos) {
    UpstreamConnection upstream = attribute.get(connection);
    if (upstream != null) {
      upstream.recordActivity(nowNanos);
    }
  }

  private void closed(UpstreamConnection upstream) {
    if (!upstream.markClosed()) {
      return;
    }
    upstream.pool().closed(upstream);
    UpstreamUser user = upstream.user();
    if (user != null && stopped) {
      user.failed(ConnectionFault.LOCAL);
    } else if (user != null) {
      user.closed(isOrderly(upstream.connection().getCloseReason()));
    }
  }

  private static boolean isOrderly(@Nullable CloseReason reason) {
    return reason != null
        && reason.getType() == CloseType.REMOTELY
        && reason.getCause() instanceof EOFException;
  }
}
