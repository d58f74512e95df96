package org.chivecross.cli.entry.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The exchanges in flight; each tick runs their due timers. Safe for use by many threads. */
final class InFlightExchanges {

  private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();

  void add(Exchange exchange) {
    exchanges.add(exchange);
  }

  void remove(Exchange exchange) {
    exchanges.remove(exchange);
  }

  int count() {
    return exchanges.size();
  }

  void forEach(Consumer<Exchange> action) {
    exchanges.forEach(action);
  }

  /** Runs the timers that are due. */
  void tick(long nowNanos) {
    for (Exchange exchange : exchanges) {
      if (exchange.timerDueNanos() <= nowNanos) {
        exchange.timer(nowNanos);
      }
    }
  }
}
