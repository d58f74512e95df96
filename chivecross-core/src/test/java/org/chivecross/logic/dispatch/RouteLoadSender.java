package org.chivecross.logic.dispatch;

/**
 * Callers of routes in a {@link DispatchSimulation}: send requests, repeat refused ones, and let
 * targets serve them from their queues. Not thread-safe.
 */
final class RouteLoadSender {

  private final DispatchSimulation simulation;

  RouteLoadSender(DispatchSimulation simulation) {
    this.simulation = simulation;
  }

  /**
   * Sends requests of a route to simulation.entries at simulation.random from a time on; callers
   * repeat refused ones.
   */
  void send(RouteLoad load, int first, int last, double perSecond, double fromSecond, double to) {
    double at = fromSecond;
    while (true) {
      at += -Math.log(1 - simulation.random.nextDouble()) / perSecond;
      if (at >= to) {
        return;
      }
      long nanos = (long) (at * 1e9);
      load.sent++;
      simulation.sent++;
      simulation.schedule(
          nanos,
          now ->
              call(
                  new RouteLoad.Call(load, now, simulation.repeats),
                  simulation.random.nextInt(first, last),
                  now));
    }
  }

  private void call(RouteLoad.Call call, int entry, long now) {
    Dispatcher dispatcher = simulation.entries.get(entry);
    PlacementTicket[] ticket = new PlacementTicket[1];
    boolean[] done = new boolean[1];
    Runnable again =
        () ->
            simulation.schedule(simulation.nowNanos, at -> place(call, entry, ticket[0], done, at));
    ticket[0] = dispatcher.open(call.load.rule, call.deadlineNanos(), 0, again, now);
    place(call, entry, ticket[0], done, now);
  }

  private void place(
      RouteLoad.Call call, int entry, PlacementTicket ticket, boolean[] done, long now) {
    if (done[0]) {
      return;
    }
    Placement placement = simulation.entries.get(entry).place(ticket, now);
    if (placement instanceof Placement.Pending pending) {
      simulation.schedule(pending.placeAgainAtNanos(), at -> place(call, entry, ticket, done, at));
      return;
    }
    done[0] = true;
    if (placement instanceof Placement.Chosen chosen) {
      serve(call, entry, ticket, chosen.target(), now);
    } else if (placement instanceof Placement.Refused refusal) {
      refusedCall(call, refusal.retryAfterMillis(), now);
    }
  }

  private void refusedCall(RouteLoad.Call call, long retryAfterMillis, long now) {
    if (call.repeats-- == 0) {
      simulation.refused++;
      return;
    }
    long delay =
        Math.min(retryAfterMillis * DispatchSimulation.MILLI, (call.deadlineNanos() - now) / 3);
    simulation.schedule(
        now + delay, at -> call(call, simulation.random.nextInt(simulation.entries.size()), at));
  }

  private void serve(RouteLoad.Call call, int entry, PlacementTicket ticket, int row, long now) {
    Dispatcher dispatcher = simulation.entries.get(entry);
    FakeTarget target = simulation.find(dispatcher, row);
    dispatcher.started(row);
    if (target.queue.size() >= target.queueBound) {
      simulation.shed++;
      dispatcher.failed(row, now);
      if (!dispatcher.tryTakeRetry(ticket, now)) {
        refusedCall(call, dispatcher.retryAfterMillis(ticket, now), now);
        return;
      }
      dispatcher.placeAgain(ticket, now);
      boolean[] done = new boolean[1];
      simulation.schedule(now, at -> place(call, entry, ticket, done, at));
      return;
    }
    target.requests++;
    boolean nominal = dispatcher.isAtNominalSpeed(row, now);
    int factor = simulation.random.nextDouble() < 0.03 ? 7 : 1;
    target.queue.add(
        begin -> {
          double nearlyFull =
              target.running > 0.8 * target.registered.slots() ? simulation.nearlyFullFactor : 1;
          double work =
              call.load.workMillis(begin)
                  * factor
                  * simulation.slowdown(target, begin)
                  * nearlyFull;
          double owed = target.owedMillis;
          target.owedMillis = 0;
          simulation.schedule(
              begin + (long) ((work + owed) * DispatchSimulation.MILLI),
              at -> {
                target.running--;
                target.startQueued(at);
                dispatcher.served(ticket, row, at - now, nominal, at);
                call.answered(at);
              });
        });
    target.startQueued(now);
  }
}
