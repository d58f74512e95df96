package org.chivecross.cli.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.request.RequestMachine;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
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

  private final Object lock = new Object();
  private final ExchangeServices services;
  private final CallerConnection caller;
  private final HttpRequestPacket request;
  private final CallerResponse response;
  private final RequestMachine machine;
  private final RequestBody body = new RequestBody();
  private final List<Attempt> attempts = new ArrayList<>(1);
  private final long arrivedNanos;
  private volatile long wakeNanos = Long.MAX_VALUE;
  private @Nullable Attempt relayed;
  private @Nullable Attempt bodySink;
  private @Nullable FilterChainContext parkedBody;
  private boolean started;
  private boolean callerCongested;
  private boolean over;

  Exchange(
      ExchangeServices services,
      CallerConnection caller,
      HttpRequestPacket request,
      long nowNanos) {
    this.services = services;
    this.caller = caller;
    this.request = request;
    response = new CallerResponse(caller.connection(), request);
    machine = services.machines().create();
    arrivedNanos = nowNanos;
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
    return wakeNanos;
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
      if (body.receivedBytes() + buffer.remaining() > services.settings().maxBodyBytes()) {
        refuse(413, "body is larger than " + services.settings().maxBodyBytes() + " bytes");
        return true;
      }
      boolean last = content.isLast();
      if (!body.retain(buffer, last)) {
        Attempt sink = bodySink;
        if (sink == null) {
          return true;
        }
        sink.write(buffer, last);
        return last || sink.canWrite(this::resumeBody);
      }
      if (!started && body.isReadyToSend()) {
        started = true;
        start();
      }
      return over || body.isComplete() || !body.isReadyToSend() || body.isStreaming();
    }
  }

  @Override
  public boolean parkReader(FilterChainContext context) {
    synchronized (lock) {
      Attempt sink = bodySink;
      boolean congested = sink == null ? !body.isStreaming() : !sink.canWrite(this::resumeBody);
      if (over || !congested) {
        return false;
      }
      context.suspend();
      parkedBody = context;
      return true;
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
      if (over || nowNanos < wakeNanos) {
        return;
      }
      carryOut(machine.timer(nowNanos), nowNanos);
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
      finish();
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
        if (!ResponseHeads.isFramingSound(head, request.isHeadRequest())) {
          failed(attempt, ConnectionFault.MALFORMED, now);
          return true;
        }
        Decision decision =
            machine.responseHead(attempt.number(), ResponseHeads.toDecisionHead(head), now);
        carryOut(decision, now);
        if (!over && relayed == attempt) {
          if (!body.isComplete()) {
            response.closeAfterwards();
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
    long now = System.nanoTime();
    long elapsed = TimeUnit.NANOSECONDS.toMillis(now - arrivedNanos);
    services.inFlight().add(this);
    carryOut(machine.arrived(RequestHeads.toDecisionHead(request, elapsed), now), now);
  }

  /** Answers without the machine; says that nothing ran only if no attempt was ever sent. */
  private void refuse(int status, String detail) {
    synchronized (lock) {
      if (over) {
        return;
      }
      if (relayed != null) {
        response.abort();
        finish();
        return;
      }
      boolean sent = attempts.stream().anyMatch(Attempt::isSent);
      if (started) {
        machine.cancelled(System.nanoTime());
      }
      response.closeAfterwards();
      String peer = RequestHeads.callerAddress(caller.connection());
      Failure failure = new Failure(Step.ACCEPT, peer, detail);
      answer(status, sent ? Outcome.UNKNOWN : Outcome.NOT_RUN, failure, OptionalLong.empty());
    }
  }

  private boolean relay(Attempt attempt, HttpResponsePacket head, HttpContent content, long now) {
    if (content.isLast()) {
      machine.responseEnd(attempt.number(), now);
      attempt.responseEnded(head);
      over = true;
      response.write(content.getContent(), true);
      finish();
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
    if (fault == ConnectionFault.SILENT) {
      services.client().closeSuspects(attempt.target(), now);
    }
    carryOut(machine.connectionFailed(attempt.number(), fault, now), now);
  }

  private void carryOut(Decision decision, long now) {
    if (over) {
      return;
    }
    if (decision instanceof Decision.Send send) {
      send(send, now);
    } else if (decision instanceof Decision.Relay relay) {
      chooseRelayed(relay.attempt());
    } else if (decision instanceof Decision.Answer answer) {
      answer(answer.status(), answer.outcome(), answer.failure(), answer.retryAfterMillis());
    } else if (decision instanceof Decision.Abort) {
      over = true;
      response.abort();
      finish();
    } else if (decision instanceof Decision.Finish) {
      finish();
    } else if (decision instanceof Decision.PassToOwner pass) {
      passToOwner(pass.ownerIncarnation());
    }
    wakeNanos = over ? Long.MAX_VALUE : machine.nextTimerNanos();
  }

  private void send(Decision.Send send, long now) {
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
    if (!machine.sending(attempt.number(), now)) {
      connection.pool().release(connection);
      attempt.abandon();
      carryOut(machine.timer(now), now);
      return;
    }
    long remaining = TimeUnit.NANOSECONDS.toMillis(attempt.order().deadlineNanos() - now);
    attempt.bind(
        connection, RequestHeads.toUpstream(request, caller.connection(), Math.max(1, remaining)));
    Buffer content = body.retainedContent(caller.connection().getMemoryManager());
    boolean whole = body.isComplete() && !body.isStreaming();
    if (!whole) {
      body.startStreaming();
      bodySink = attempt;
      machine.bodySent(now);
    }
    attempt.write(content, whole);
    if (!whole && attempt.canWrite(this::resumeBody)) {
      resumeBody();
    }
    wakeNanos = machine.nextTimerNanos();
  }

  private void chooseRelayed(int number) {
    for (Attempt attempt : attempts) {
      if (attempt.number() == number) {
        relayed = attempt;
      } else {
        attempt.abandon();
      }
    }
  }

  private void answer(int status, Outcome outcome, Failure failure, OptionalLong retryAfterMillis) {
    if (!body.isComplete()) {
      response.closeAfterwards();
    }
    over = true;
    response.answer(ProblemAnswers.of(status, outcome, failure, retryAfterMillis));
    finish();
  }

  private void passToOwner(long owner) {
    Failure failure =
        new Failure(Step.KEY_LOOKUP, Long.toHexString(owner), "the owner can't be reached");
    answer(503, Outcome.UNKNOWN, failure, OptionalLong.empty());
  }

  private void finish() {
    over = true;
    wakeNanos = Long.MAX_VALUE;
    services.inFlight().remove(this);
    for (Attempt attempt : attempts) {
      attempt.abandon();
    }
    callerCongested = false;
    FilterChainContext reader = parkedBody;
    parkedBody = null;
    FilterChainContext next = caller.end(System.nanoTime());
    if (reader != null) {
      reader.resume(reader.getStopAction());
    }
    if (next != null) {
      next.resume();
    }
  }

  private void resumeBody() {
    FilterChainContext reader;
    synchronized (lock) {
      reader = parkedBody;
      parkedBody = null;
    }
    if (reader != null) {
      reader.resume(reader.getStopAction());
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
