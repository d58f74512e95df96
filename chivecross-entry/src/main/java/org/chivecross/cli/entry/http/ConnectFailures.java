package org.chivecross.cli.entry.http;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
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
    if (cause instanceof BindException || !(cause instanceof IOException)) {
      return cause instanceof TimeoutException
          ? ConnectionFault.CONNECT_TIMEOUT
          : ConnectionFault.LOCAL;
    }
    String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    if (message.contains("refused")) {
      return ConnectionFault.REFUSED;
    }
    boolean isUnreachable =
        cause instanceof SocketTimeoutException
            || cause instanceof ConnectException
            || cause instanceof NoRouteToHostException
            || message.contains("unreachable")
            || message.contains("reset");
    return isUnreachable ? ConnectionFault.CONNECT_TIMEOUT : ConnectionFault.LOCAL;
  }
}
