package org.chivecross.cli.entry.http;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.concurrent.TimeoutException;
import org.chivecross.model.request.ConnectionFault;
import org.jspecify.annotations.Nullable;

/**
 * Classifies failures to connect. Only an answer of the network is evidence about a target; all
 * other failures, also unknown ones, are this entry's own. Stateless.
 */
final class ConnectFailures {

  private ConnectFailures() {}

  /** Returns the fault that a failure to connect to a target stands for. */
  static ConnectionFault faultOf(@Nullable Throwable cause) {
    if (cause instanceof TimeoutException
        || cause instanceof SocketTimeoutException
        || cause instanceof NoRouteToHostException) {
      return ConnectionFault.CONNECT_TIMEOUT;
    }
    if (cause instanceof ConnectException) {
      // The other reason is a time-out of the system, which is longer than that of this entry.
      return contains(cause, "timed out")
          ? ConnectionFault.CONNECT_TIMEOUT
          : ConnectionFault.REFUSED;
    }
    boolean isUnreachable =
        cause instanceof SocketException
            && (contains(cause, "unreachable") || contains(cause, "reset"));
    return isUnreachable ? ConnectionFault.CONNECT_TIMEOUT : ConnectionFault.LOCAL;
  }

  private static boolean contains(Throwable cause, String text) {
    return String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains(text);
  }
}
