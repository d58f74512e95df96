package org.chivecross.cli.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.request.RequestMachine;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request that is sent to targets: reports events to its {@link RequestMachine} and
 * executes the decisions that it returns.
 *
 * <p>All state is guarded by {@link #lock()}. Suspended readers are resumed without the lock.
 * Invariant: after {@code over} is set, nothing more is written to the caller.
 */
final class Exchange implements CallerExchange {

  private final Object lock;
  private final ExchangeServices services;
  private final DataPathPorts ports;
  private final CallerConnection caller;
  private final HttpRequestPacket request;
  private final CallerResponse response;
  private final RequestMachine machine;
  private final BodyFlow body;
  private final ExchangeTimes times;
  private final AttemptList attempts = new AttemptList();
  private final ExchangeTimer timer;
  private final ErrorContainment containment;
  private @Nullable Attempt relayed;
  private boolean started;
  private boolean callerCongested;
  private boolean over;
  private final Optional<Route> route;

  Exchange(
      ExchangeServices services,
      CallerConnection caller,
      HttpRequestPacket request,
      long nowNanos) {
    this.services = services;
    ports = services.ports();
    lock = ports.locks().get();
    containment = new ErrorContainment(lock, this::failedUnexpectedly);
    this.caller = caller;
    this.request = request;
    response = new CallerResponse(caller, this, ports.dialect(), services.leaving());
    route = RequestHeads.route(request, ports.router());
    timer = new ExchangeTimer(ports.scheduler(), () -> timer(System.nanoTime()));
    machine = ports.machines().create(timer::fireNow);
    times = new ExchangeTimes(nowNanos);
    body = new BodyFlow(lock, services.newBody(request), caller);
  }

  Object lock() {
    return lock;
  }

  @Override
  public HttpRequestPacket request() {
    return request;
  }

  /** Returns the monotonic time at which {@link #timer} must be called. */
  long timerDueNanos() {
    return timer.dueNanos();
  }

  boolean isCallerCongested() {
    return callerCongested;
  }

  @Override
  public boolean received(HttpContent content) {
    synchronized (lock) {
      if (over) {
        return true;
      }
      Buffer buffer = content.getContent();
      if (body.receivedBytes() + buffer.remaining() > services.maxBodyBytes().getAsLong()) {
        refuse(413, "body is larger than " + services.maxBodyBytes().getAsLong() + " bytes", true);
        return true;
      }
      boolean more = body.receive(buffer, content.isLast());
      startIfReady();
      return over || more;
    }
  }

  @Override
  public boolean isRequestComplete() {
    return body.isComplete();
  }

  @Override
  public boolean suspendReader(FilterChainContext context) {
    synchronized (lock) {
      return !over && body.suspendReader(context);
    }
  }

  /** Sends 100 (Continue) if the caller waits for it before it sends the body. */
  void acknowledge() {
    synchronized (lock) {
      response.acknowledge();
    }
  }

  /** Handles the timer; does nothing if it is not due. */
  void timer(long nowNanos) {
    containment.run(() -> runTimer(nowNanos));
  }

  private void runTimer(long nowNanos) {
    if (over || !timer.tryFire(nowNanos)) {
      return;
    }
    Attempt expired = attempts.findTimedOut(services.settings().connectTimeoutNanos(), nowNanos);
    if (expired == null) {
      carryOut(machine.timer(nowNanos), nowNanos);
    } else {
      failed(expired, ConnectionFault.CONNECT_TIMEOUT, nowNanos);
    }
    route.ifPresent(r -> attempts.closeSuspects(services, r, nowNanos));
  }

  @Override
  public void failedUnexpectedly() {
    synchronized (lock) {
      ports.observer().failedUnexpectedly();
      refuse(attempts.isAnySent() ? 502 : 503, "unexpected error of this entry", false);
    }
  }

  @Override
  public void bodyBroken() {
    refuse(400, "body is not in valid chunks", true);
  }

  @Override
  public void writeAllowed() {
    containment.run(
        () -> {
          response.flush();
          startIfReady();
        });
  }

  @Override
  public void callerClosed() {
    synchronized (lock) {
      if (over) {
        return;
      }
      if (started) {
        machine.cancelled(System.nanoTime());
      }
      if (attempts.sentCount() > 0 && caller.isClosedByCaller()) {
        services.abandoned().abandoned(request, times, attempts, caller.reader().isSuspended());
      }
      finish(0, attempts.isAnySent() ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }
  }

  @Override
  public void stop(StoppedRequestLog stopped) {
    containment.run(
        () -> {
          if (!over) {
            stopped.cut(request, route, times, attempts);
            refuse(attempts.isAnySent() ? 502 : 503, "this entry ends", false);
          }
        });
  }

  /** Handles a part of a response; returns whether more may be read now. */
  boolean responseContent(Attempt attempt, HttpContent content) {
    synchronized (lock) {
      if (attempt.isOver() || over) {
        return true;
      }
      long now = System.nanoTime();
      HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
      if (!attempt.headReceived()) {
        attempt.markHeadReceived(ports.dialect().isCopyRecognisable(head));
        if (!ports.isRelayable(request, head)) {
          machine.announced(attempt.number(), ports.dialect().toDecisionHead(head), now);
          failed(attempt, ConnectionFault.MALFORMED, now);
          return true;
        }
      }
      if (!attempt.held().take(content)) {
        return true;
      }
      if (attempt.markDecided()) {
        Decision decision =
            machine.responseHead(attempt.number(), ports.dialect().toDecisionHead(head), now);
        carryOut(decision, now);
        if (!over && relayed == attempt) {
          relayHead(attempt, head, now);
        }
      }
      if (over || relayed != attempt) {
        attempt.discardResponsePart(head, content.isLast());
        return true;
      }
      return relay(attempt, head, content, now);
    }
  }

  /** Handles the loss of an attempt's connection, or the failure to get one. */
  void attemptFailed(Attempt attempt, ConnectionFault fault) {
    containment.run(() -> failed(attempt, fault, System.nanoTime()));
  }

  /** A non-idempotent request waits for earlier ones, since they may close the connection. */
  private boolean mayStart() {
    return caller.mayWrite(this) || route.filter(Route::isIdempotent).isPresent();
  }

  /** Starts the request, unless it has started, can't start yet, or its caller has left. */
  private void startIfReady() {
    long readyNanos = System.nanoTime();
    boolean mayStartNow = !over && !started && body.isReadyToSend() && mayStart();
    if (!mayStartNow || endIfCallerLeft(readyNanos)) {
      return;
    }
    started = true;
    times.ready(readyNanos);
    long elapsed = TimeUnit.NANOSECONDS.toMillis(readyNanos - times.arrivedNanos());
    RequestHead head =
        RequestHeads.toDecisionHead(request, elapsed, body, ports.dialect(), services.forwarded());
    services.inFlight().add(this);
    long now = System.nanoTime();
    carryOut(machine.arrived(head, now), now);
  }

  private boolean endIfCallerLeft(long now) {
    boolean hasLeft = caller.hasLeft(now);
    if (hasLeft) {
      ports.observer().droppedUnsent();
      callerClosed();
    }
    return hasLeft;
  }

  /** Answers without the machine; the outcome is not-run exactly if no attempt was sent. */
  private void refuse(int status, String detail, boolean closes) {
    synchronized (lock) {
      if (over) {
        return;
      }
      if (relayed != null) {
        abort();
        return;
      }
      Outcome outcome = attempts.isAnySent() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      if (started) {
        machine.cancelled(System.nanoTime());
      }
      if (closes) {
        response.closeAfterwards();
      }
      answer(services.refusal(status, outcome, caller.connection(), detail), outcome);
    }
  }

  private void relayHead(Attempt attempt, HttpResponsePacket head, long now) {
    times.headRead(attempt.sentNanos(), now);
    if (!body.isComplete()) {
      response.closeWhileReceiving();
    }
    response.relayHead(head);
  }

  private boolean relay(Attempt attempt, HttpResponsePacket head, HttpContent content, long now) {
    List<Buffer> parts = attempt.held().release();
    if (content.isLast()) {
      machine.responseEnd(attempt.number(), now);
      int status = head.getStatus();
      attempt.responseEnded(head);
      over = true;
      response.writeLast(parts);
      finish(status, Outcome.ANSWERED);
      return true;
    }
    parts.forEach(part -> response.write(part, false));
    callerCongested = !response.canWrite(this::callerWritable);
    return !callerCongested;
  }

  private void failed(Attempt attempt, ConnectionFault fault, long now) {
    if (over || attempt.isOver()) {
      return;
    }
    attempt.abandon();
    carryOut(machine.connectionFailed(attempt.number(), fault, now), now);
  }

  private void carryOut(Decision decision, long now) {
    if (over) {
      return;
    }
    if (decision instanceof Decision.Send send) {
      send(send, now);
    } else if (decision instanceof Decision.Relay relay) {
      relayed = attempts.keepOnly(relay.attempt());
    } else if (decision instanceof Decision.Answer answer) {
      answer(ports.answer(answer, services.client()::withAddress), answer.outcome());
    } else if (decision instanceof Decision.Abort) {
      abort();
    } else if (decision instanceof Decision.Finish) {
      finish(0, Outcome.UNKNOWN);
    } else if (decision instanceof Decision.PassToOwner pass) {
      attempts.markPassedOn();
      services.passToOwner(
          pass.ownerIncarnation(),
          request,
          body,
          route,
          times.arrivedNanos(),
          (answer, outcome) -> containment.run(() -> answer(answer, outcome)));
    }
    rearm();
  }

  private void rearm() {
    if (over) {
      return;
    }
    long connectEnd = attempts.nextConnectDeadlineNanos(services.settings().connectTimeoutNanos());
    timer.set(Math.min(machine.nextTimerNanos(), connectEnd));
  }

  private void send(Decision.Send send, long now) {
    times.attemptDecided(now);
    Attempt attempt = new Attempt(this, send, services.settings().heldResponseBytes(), now);
    attempts.add(attempt);
    services.client().acquire(send.target(), attempts.kindFor(send, ports), now, attempt);
  }

  /** Sends an attempt on the connection that was acquired for it. */
  void acquired(Attempt attempt, UpstreamConnection connection) {
    containment.run(() -> sendOn(attempt, connection));
  }

  private void sendOn(Attempt attempt, UpstreamConnection connection) {
    long now = System.nanoTime();
    if (over || attempt.isOver() || endIfCallerLeft(now)) {
      connection.pool().release(connection);
      return;
    }
    if (!body.isReplayable() || !machine.sending(attempt.number(), now)) {
      connection.pool().release(connection);
      attempt.abandon();
      carryOut(machine.timer(now), now);
      return;
    }
    attempt.bind(connection, request, caller.connection(), ports, attempts.sentCount(), now);
    if (body.sendTo(attempt) || body.isUploadBegun(route)) {
      machine.bodySent(now);
    }
    rearm();
  }

  private void answer(LocalResponse answer, Outcome outcome) {
    if (over) {
      return;
    }
    if (!body.isComplete()) {
      response.closeWhileReceiving();
    }
    over = true;
    response.answer(services.complete(answer, request, outcome));
    finish(answer.status(), outcome);
  }

  private void abort() {
    over = true;
    response.abort();
    finish(0, Outcome.UNKNOWN);
  }

  private void finish(int status, Outcome outcome) {
    over = true;
    timer.set(Long.MAX_VALUE);
    services.inFlight().remove(this);
    attempts.abandonAll();
    callerCongested = false;
    long now = System.nanoTime();
    ports.observer().ended(times.summary(route, status, outcome, attempts.size(), now));
    FilterChainContext next = caller.end(this, outcome, now);
    body.discard();
    if (status > 0 && body.isComplete()) {
      response.recycle();
    }
    caller.resume(next);
  }

  private void callerWritable() {
    FilterChainContext reader;
    synchronized (lock) {
      callerCongested = false;
      reader = Optional.ofNullable(relayed).map(Attempt::takeSuspendedReader).orElse(null);
    }
    if (reader != null) {
      reader.resume(reader.getStopAction());
    }
  }
}
