package org.chivecross.cli.entry.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.request.RequestMachine;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.peer.KeyCall;
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
 * A request that is balanced: feeds its {@link RequestMachine} with events and carries the
 * decisions out.
 *
 * <p>All state is guarded by {@link #lock()}. Suspended readers are resumed without it. Invariant:
 * after {@code over} is set, nothing more is written to the caller.
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
  private final ExchangeClock clock;
  private final AttemptList attempts = new AttemptList();
  private final ExchangeTimer timer;
  private @Nullable Attempt relayed;
  private boolean started;
  private boolean callerCongested;
  private boolean over;
  private Optional<Route> route = Optional.empty();

  Exchange(
      ExchangeServices services,
      CallerConnection caller,
      HttpRequestPacket request,
      long nowNanos) {
    this.services = services;
    ports = services.ports();
    lock = ports.locks().get();
    this.caller = caller;
    this.request = request;
    response = new CallerResponse(caller, request, ports.dialect());
    timer = new ExchangeTimer(ports.timer(), () -> timer(System.nanoTime()));
    machine = ports.machines().create(timer::wake);
    clock = new ExchangeClock(nowNanos);
    boolean keyed = RequestHeads.idempotencyKey(request).isPresent();
    int retained = keyed ? KeyCall.MAX_BODY_BYTES : services.settings().retainedBodyBytes();
    body = new BodyFlow(lock, new RequestBody(retained), caller.connection().getMemoryManager());
    if (services.leaving().getAsBoolean()) {
      response.closeAfterwards();
    }
  }

  Object lock() {
    return lock;
  }

  @Override
  public HttpRequestPacket request() {
    return request;
  }

  /** Returns the monotonic time at which {@link #timer} must be called. */
  long wakeNanos() {
    return timer.wakeNanos();
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
        refuse(413, "body is larger than " + services.maxBodyBytes().getAsLong() + " bytes");
        return true;
      }
      boolean more = body.receive(buffer, content.isLast());
      if (!started && body.isReadyToSend()) {
        started = true;
        start();
      }
      return over || more;
    }
  }

  @Override
  public boolean isRequestComplete() {
    return body.isComplete();
  }

  @Override
  public boolean parkReader(FilterChainContext context) {
    synchronized (lock) {
      return !over && body.park(context);
    }
  }

  /** Asks the caller for the body that it holds back, if it does. */
  void acknowledge() {
    synchronized (lock) {
      if (request.requiresAcknowledgement()) {
        response.sendContinue();
      }
    }
  }

  /** The wake time has come. */
  void timer(long nowNanos) {
    synchronized (lock) {
      if (over || !timer.fires(nowNanos)) {
        return;
      }
      Attempt late = attempts.findLateConnect(services.settings().connectTimeoutNanos(), nowNanos);
      if (late == null) {
        carryOut(machine.timer(nowNanos), nowNanos);
      } else {
        failed(late, ConnectionFault.CONNECT_TIMEOUT, nowNanos);
      }
      route.ifPresent(known -> attempts.closeSuspects(services, known, nowNanos));
    }
  }

  @Override
  public void bodyBroken() {
    refuse(400, "body is not in valid chunks");
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
      finish(0, attempts.isAnySent() ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }
  }

  /** A part of a response arrived; returns whether more may be read now. */
  boolean responseContent(Attempt attempt, HttpContent content) {
    synchronized (lock) {
      if (attempt.isOver() || over) {
        return true;
      }
      long now = System.nanoTime();
      HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
      if (!attempt.headReceived()) {
        attempt.markHeadReceived();
        if (!ports.isAnswer(request, head)) {
          failed(attempt, ConnectionFault.MALFORMED, now);
          return true;
        }
        Decision decision =
            machine.responseHead(attempt.number(), ports.dialect().toDecisionHead(head), now);
        carryOut(decision, now);
        if (!over && relayed == attempt) {
          clock.headRead(attempt.sentNanos(), now);
          if (!body.isComplete()) {
            response.closeWhileReceiving();
          }
          response.relayHead(head);
        }
      }
      if (over || relayed != attempt) {
        endUnused(attempt, head, content.isLast());
        return true;
      }
      return relay(attempt, head, content, now);
    }
  }

  /** An attempt lost its connection, or never had one. */
  void attemptFailed(Attempt attempt, ConnectionFault fault) {
    synchronized (lock) {
      if (!over && !attempt.isOver()) {
        failed(attempt, fault, System.nanoTime());
      }
    }
  }

  private void start() {
    long readyNanos = System.nanoTime();
    clock.ready(readyNanos);
    long elapsed = TimeUnit.NANOSECONDS.toMillis(readyNanos - clock.arrivedNanos());
    RequestHead head =
        RequestHeads.toDecisionHead(request, elapsed, body.receivedBytes(), ports.dialect());
    route = ports.router().route(head.method(), head.host(), head.path());
    services.inFlight().add(this);
    long now = System.nanoTime();
    carryOut(machine.arrived(head, now), now);
  }

  /** Answers without the machine; says that nothing ran only if no attempt was ever sent. */
  private void refuse(int status, String detail) {
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
      response.closeAfterwards();
      String peer = RequestHeads.callerAddress(caller.connection());
      Failure failure = new Failure(Step.ACCEPT, peer, detail);
      answer(ports.dialect().answer(status, outcome, failure, OptionalLong.empty()), outcome);
    }
  }

  private boolean relay(Attempt attempt, HttpResponsePacket head, HttpContent content, long now) {
    if (content.isLast()) {
      machine.responseEnd(attempt.number(), now);
      int status = head.getStatus();
      attempt.responseEnded(head);
      over = true;
      response.write(content.getContent(), true);
      finish(status, Outcome.ANSWERED);
      return true;
    }
    response.write(content.getContent(), false);
    callerCongested = !response.canWrite(this::callerWritable);
    return !callerCongested;
  }

  private void endUnused(Attempt attempt, HttpResponsePacket head, boolean last) {
    if (attempt.isOver()) {
      return;
    }
    if (last) {
      attempt.responseEnded(head);
    } else {
      attempt.abandon();
    }
  }

  private void failed(Attempt attempt, ConnectionFault fault, long now) {
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
      passToOwner(pass.ownerIncarnation());
    }
    rearm();
  }

  private void rearm() {
    if (over) {
      return;
    }
    long connect = attempts.nextConnectTimeout(services.settings().connectTimeoutNanos());
    timer.set(Math.min(machine.nextTimerNanos(), connect));
  }

  private void send(Decision.Send send, long now) {
    clock.attemptDecided(now);
    Attempt attempt = new Attempt(this, send, now);
    attempts.add(attempt);
    services.client().acquire(send.target(), send.kind(), now, new SendWhenAcquired(attempt));
  }

  private void sendOn(Attempt attempt, UpstreamConnection connection) {
    long now = System.nanoTime();
    if (over || attempt.isOver()) {
      connection.pool().release(connection);
      return;
    }
    if (!body.isReplayable() || !machine.sending(attempt.number(), now)) {
      connection.pool().release(connection);
      attempt.abandon();
      carryOut(machine.timer(now), now);
      return;
    }
    Optional<String> identity = services.client().identity(attempt.target());
    attempt.bind(connection, request, caller.connection(), identity, ports.dialect(), now);
    if (body.sendTo(attempt) || isUploadWithBody()) {
      machine.bodySent(now);
    }
    rearm();
  }

  private boolean isUploadWithBody() {
    return body.receivedBytes() > 0
        && route.isPresent()
        && route.get().requestClass() == RequestClass.UPLOAD;
  }

  private void answer(LocalResponse answer, Outcome outcome) {
    if (!body.isComplete()) {
      response.closeWhileReceiving();
    }
    over = true;
    response.answer(answer);
    finish(answer.status(), outcome);
  }

  private void abort() {
    over = true;
    response.abort();
    finish(0, Outcome.UNKNOWN);
  }

  private void passToOwner(long incarnation) {
    long now = System.nanoTime();
    long arrived = clock.arrivedNanos();
    long remaining = RequestHeads.remainingMillis(request, route, arrived, now, ports.dialect());
    if (!body.isComplete()) {
      answer(OwnerPass.tooLong(incarnation), Outcome.UNKNOWN);
      return;
    }
    KeyCall call = OwnerPass.toCall(request, body.wholeBytes());
    OwnerPass.send(ports.owners(), incarnation, call, remaining, this::ownerAnswered);
  }

  private void ownerAnswered(LocalResponse answer) {
    synchronized (lock) {
      if (!over) {
        String told = answer.headers().get("Chivecross-Outcome");
        answer(answer, told == null ? Outcome.ANSWERED : Outcome.UNKNOWN);
      }
    }
  }

  private void finish(int status, Outcome outcome) {
    over = true;
    timer.set(Long.MAX_VALUE);
    services.inFlight().remove(this);
    attempts.abandonAll();
    callerCongested = false;
    long now = System.nanoTime();
    ports.observer().ended(clock.summary(route, status, outcome, attempts.size(), now));
    FilterChainContext next = caller.end(now);
    body.discard();
    if (status > 0 && body.isComplete()) {
      response.recycle();
    }
    if (next != null) {
      next.resume();
    }
  }

  private void callerWritable() {
    FilterChainContext reader;
    synchronized (lock) {
      callerCongested = false;
      reader = Optional.ofNullable(relayed).map(Attempt::takeParkedReader).orElse(null);
    }
    if (reader != null) {
      reader.resume(reader.getStopAction());
    }
  }

  /** Sends the request when the connection is there. */
  private final class SendWhenAcquired implements UpstreamClient.AcquireHandler {

    private final Attempt attempt;

    SendWhenAcquired(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void acquired(UpstreamConnection connection) {
      synchronized (lock) {
        sendOn(attempt, connection);
      }
    }

    @Override
    public void failed(ConnectionFault fault) {
      attemptFailed(attempt, fault);
    }
  }
}
