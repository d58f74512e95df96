package org.chivecross.logic.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.history.HistoryChecker;
import org.chivecross.logic.key.KeyClaim;
import org.chivecross.logic.session.SessionAttempt.EntrySide;
import org.chivecross.logic.session.SessionAttempt.TargetSide;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.history.Violation;
import org.chivecross.model.request.ConnectionFault;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.Outcome;
import org.chivecross.model.request.RequestHead;
import org.chivecross.model.request.ResponseHead;

/**
 * Simulates a fleet of entries in virtual time, driven by text commands. The core logic of the
 * entries is real; callers, connections, targets and forwarding between entries are simulated. Not
 * thread-safe.
 *
 * <p>Commands: {@code call r1 write at e0 [key e0/k]}, {@code connect r1/0}, {@code refuse r1/0},
 * {@code lose r1/0}, {@code run r1/0}, {@code shed r1/0}, {@code busy r1/0}, {@code reply r1/0},
 * {@code end r1/0}, {@code deliver r1}, {@code drop r1}, {@code cancel r1}, {@code fence e0/k at
 * e0}, {@code kill e0}, {@code pause 200} (ms, no timer runs), {@code wake} (the next timer runs).
 */
final class VirtualFleet {

  private static final long DEADLINE_MILLIS = 100;
  private static final int MIN_REFUSAL_STATUS = 429;
  private static final String SEPARATOR = " ";

  private final Map<String, SessionEntry> entries = new LinkedHashMap<>();
  private final Map<String, SessionCall> calls = new LinkedHashMap<>();
  private final List<SessionHop> hops = new ArrayList<>();
  private final SessionRecorder recorder = new SessionRecorder();
  private final List<String> problems = new ArrayList<>();
  private long now;

  VirtualFleet(FleetSetup setup) {
    for (int i = 0; i < setup.entries(); i++) {
      SessionEntry entry = new SessionEntry(i, setup);
      entries.put(entry.name, entry);
    }
  }

  void apply(String command) {
    recorder.log("> " + command);
    String[] words = command.split(SEPARATOR, -1);
    switch (words[0]) {
      case "call" -> call(words);
      case "pause" -> now += TimeUnit.MILLISECONDS.toNanos(Long.parseLong(words[1]));
      case "wake" -> runNextTimer();
      case "kill" -> kill(entry(words[1]));
      case "cancel" -> cancel(words[1]);
      case "fence" -> fence(key(words[1]), entry(words[3]));
      case "deliver" -> deliver(forwardingHop(words[1]));
      case "drop" -> failForwarding(forwardingHop(words[1]));
      default -> attemptCommand(words[0], words[1]);
    }
  }

  /** Returns all commands on requests in flight that are possible in the current state. */
  List<String> enabled() {
    List<String> found = new ArrayList<>();
    for (SessionHop hop : hops) {
      if (hop.forwardingTo != null) {
        found.add("deliver " + hop.call.id);
        found.add("drop " + hop.call.id);
      }
      for (SessionAttempt attempt : hop.attempts) {
        addEnabled(hop, attempt, found);
      }
    }
    if (nextTimer().isPresent()) {
      found.add("wake");
    }
    return found;
  }

  private static void addEnabled(SessionHop hop, SessionAttempt attempt, List<String> found) {
    String name = hop.call.id + "/" + attempt.number;
    if (attempt.targetSide == TargetSide.RECEIVED) {
      found.add("run " + name);
      found.add("shed " + name);
      found.add("busy " + name);
    }
    switch (attempt.entrySide) {
      case CONNECTING -> {
        found.add("connect " + name);
        found.add("refuse " + name);
      }
      case WAITING -> {
        found.add("lose " + name);
        if (attempt.targetSide != TargetSide.RECEIVED) {
          found.add("reply " + name);
        }
      }
      case RELAYING -> {
        found.add("end " + name);
        found.add("lose " + name);
      }
      default -> {}
    }
  }

  boolean isSettled() {
    return hops.stream().allMatch(hop -> hop.isFinished)
        && calls.values().stream().noneMatch(call -> call.isWaiting);
  }

  boolean isWaiting(String id) {
    SessionCall call = calls.get(id);
    return call != null && call.isWaiting;
  }

  /** Returns violated rules; missing outcomes count only when all requests have ended. */
  List<String> violations() {
    List<String> found = new ArrayList<>(problems);
    for (Violation violation : new HistoryChecker().check(recorder.events())) {
      if (isSettled() || !violation.detail().equals("0 outcomes")) {
        found.add(violation.toString());
      }
    }
    for (SessionEntry entry : entries.values()) {
      boolean isBalanced =
          entry.audit.unreleasedAdmissions() == 0 && entry.audit.openAttempts() == 0;
      if (entry.isAlive && isSettled() && !isBalanced) {
        found.add("balance: " + entry.name);
      }
    }
    return found;
  }

  /** Returns the complete state that determines all later behaviour, as text. */
  String fingerprint() {
    StringBuilder keys = new StringBuilder();
    for (SessionCall call : calls.values()) {
      for (SessionEntry entry : entries.values()) {
        keys.append(call.key.isEmpty() ? "" : entry.keys.query(call.key, now))
            .append(entry.isAlive);
      }
      keys.append(call.isWaiting);
    }
    return now + hops.toString() + keys + recorder.facts();
  }

  SessionRecorder recorder() {
    return recorder;
  }

  private void call(String[] words) {
    RequestClass requestClass = RequestClass.valueOf(words[2].toUpperCase(Locale.ROOT));
    SessionCall call =
        new SessionCall(words[1], requestClass, words.length > 5 ? key(words[6]) : "");
    SessionEntry entry = entry(words[4]);
    calls.put(call.id, call);
    recorder.called(now, call, entry);
    if (!entry.isAlive) {
      breakOff(call, "closed");
      return;
    }
    arrive(call, entry);
  }

  private void arrive(SessionCall call, SessionEntry entry) {
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
    SessionHop hop = new SessionHop(call, entry, deadline);
    hops.add(hop);
    Optional<String> key = call.key.isEmpty() ? Optional.empty() : Optional.of(call.key);
    String path = "/" + call.requestClass.name().toLowerCase(Locale.ROOT);
    RequestHead head =
        new RequestHead("POST", "h", path, Optional.of(DEADLINE_MILLIS), 0, key, false);
    executeAndCheck(hop, hop.machine.arrived(head, now));
  }

  private void attemptCommand(String verb, String name) {
    String[] parts = name.split("/", -1);
    int number = Integer.parseInt(parts[1]);
    SessionHop hop =
        hops.stream()
            .filter(one -> one.call.id.equals(parts[0]) && one.attempts.size() > number)
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("no attempt " + name));
    SessionAttempt attempt = hop.attempts.get(number);
    switch (verb) {
      case "connect" -> connect(hop, attempt);
      case "refuse" -> fail(hop, attempt, ConnectionFault.REFUSED);
      case "lose" -> fail(hop, attempt, ConnectionFault.CLOSED);
      case "run" -> {
        attempt.targetSide = TargetSide.RAN;
        recorder.ran(now, hop.call, attempt);
      }
      case "shed" -> attempt.targetSide = TargetSide.SHED;
      case "busy" -> {
        attempt.targetSide = TargetSide.BUSY;
        recorder.busy(now, hop.call, attempt);
      }
      case "reply" -> reply(hop, attempt);
      case "end" -> end(hop, attempt);
      default -> throw new IllegalArgumentException("unknown command " + verb);
    }
  }

  private void connect(SessionHop hop, SessionAttempt attempt) {
    if (!hop.machine.sending(attempt.number, now)) {
      attempt.entrySide = EntrySide.CLOSED;
      executeAndCheck(hop, hop.machine.timer(now));
      return;
    }
    attempt.entrySide = EntrySide.WAITING;
    attempt.targetSide = TargetSide.RECEIVED;
    if (hop.call.requestClass == RequestClass.UPLOAD) {
      hop.machine.bodySent(now);
    }
  }

  private void fail(SessionHop hop, SessionAttempt attempt, ConnectionFault fault) {
    attempt.entrySide = EntrySide.CLOSED;
    executeAndCheck(hop, hop.machine.connectionFailed(attempt.number, fault, now));
  }

  private void reply(SessionHop hop, SessionAttempt attempt) {
    int status = attempt.targetSide == TargetSide.RAN ? 200 : 503;
    boolean notRun = attempt.targetSide == TargetSide.SHED;
    ResponseHead head = new ResponseHead(status, notRun, false, Optional.empty());
    Decision decision = hop.machine.responseHead(attempt.number, head, now);
    if (!decision.equals(new Decision.Relay(attempt.number))) {
      attempt.entrySide = EntrySide.CLOSED;
    }
    executeAndCheck(hop, decision);
  }

  private void end(SessionHop hop, SessionAttempt attempt) {
    attempt.entrySide = EntrySide.CLOSED;
    Decision decision = hop.machine.responseEnd(attempt.number, now);
    if (decision instanceof Decision.Finish) {
      settle(hop, () -> recorder.relayed(now, hop.call, attempt, true));
    }
  }

  private void executeAndCheck(SessionHop hop, Decision decision) {
    if (hop.isFinished) {
      return;
    }
    execute(hop, decision);
    boolean isPending = hop.forwardingTo != null || hop.hasOpenAttempt();
    if (!hop.isFinished && !isPending && hop.machine.nextTimerNanos() >= hop.deadlineNanos) {
      problems.add("stalled: " + hop.call.id);
    }
    if (decision instanceof Decision.Answer answer
        && answer.status() >= MIN_REFUSAL_STATUS
        && answer.retryAfterMillis().isEmpty()) {
      problems.add("retry-after missing: " + hop.call.id);
    }
  }

  private void execute(SessionHop hop, Decision decision) {
    if (decision instanceof Decision.Send send) {
      hop.attempts.add(new SessionAttempt(send.attempt(), send.target()));
      String kind = send.kind().name().toLowerCase(Locale.ROOT);
      recorder.log(
          hop.entry.name
              + ": send "
              + hop.call.id
              + "/"
              + send.attempt()
              + " to t"
              + send.target()
              + " on "
              + kind);
    } else if (decision instanceof Decision.Relay relay) {
      hop.closeAttempts(relay.attempt());
      hop.relayedAttempt = relay.attempt();
      hop.attempts.get(relay.attempt()).entrySide = EntrySide.RELAYING;
      recorder.log(hop.entry.name + ": relay " + hop.call.id + "/" + relay.attempt());
    } else if (decision instanceof Decision.Answer answer) {
      recorder.log(hop.entry.name + ": " + answer.failure());
      settle(hop, () -> recorder.answered(now, hop.call, answer.status(), answer.outcome()));
    } else if (decision instanceof Decision.Abort abort) {
      recorder.log(hop.entry.name + ": " + abort.failure());
      settle(hop, () -> recorder.broken(now, hop.call, "cut"));
    } else if (decision instanceof Decision.PassToOwner pass) {
      forwardToOwner(hop, pass.ownerIncarnation());
    } else if (decision instanceof Decision.Finish) {
      settle(hop, () -> recordTruncatedAnswer(hop));
    }
  }

  /** Records what was relayed so far as an answer that the caller takes for complete. */
  private void recordTruncatedAnswer(SessionHop hop) {
    if (hop.relayedAttempt >= 0) {
      recorder.relayed(now, hop.call, hop.attempts.get(hop.relayedAttempt), false);
    }
  }

  private void forwardToOwner(SessionHop hop, long incarnation) {
    for (SessionEntry entry : entries.values()) {
      if (entry.issuer.incarnation() == incarnation) {
        hop.forwardingTo = entry;
        recorder.log(hop.entry.name + ": pass " + hop.call.id + " to " + entry.name);
      }
    }
  }

  private void deliver(SessionHop hop) {
    SessionEntry owner = Objects.requireNonNull(hop.forwardingTo);
    if (!owner.isAlive) {
      failForwarding(hop);
      return;
    }
    hop.forwardingTo = null;
    hop.isFinished = true;
    arrive(hop.call, owner);
  }

  private void failForwarding(SessionHop hop) {
    hop.forwardingTo = null;
    settle(hop, () -> recorder.answered(now, hop.call, 502, Outcome.UNKNOWN));
  }

  private void settle(SessionHop hop, Runnable outcome) {
    hop.isFinished = true;
    hop.closeAttempts(-1);
    if (hop.call.isWaiting) {
      hop.call.isWaiting = false;
      outcome.run();
    }
  }

  private void breakOff(SessionCall call, String reason) {
    if (call.isWaiting) {
      call.isWaiting = false;
      recorder.broken(now, call, reason);
    }
  }

  private void cancel(String id) {
    breakOff(calls.get(id), "timeout");
    for (SessionHop hop : List.copyOf(hops)) {
      if (hop.call.id.equals(id) && !hop.isFinished) {
        hop.forwardingTo = null;
        executeAndCheck(hop, hop.machine.cancelled(now));
      }
    }
  }

  private void fence(String key, SessionEntry entry) {
    KeyClaim claim = entry.keys.cancel(key, now);
    recorder.log(entry.name + ": " + claim);
    if (claim instanceof KeyClaim.Fenced) {
      recorder.fenced(now, key);
    }
  }

  private void kill(SessionEntry entry) {
    entry.isAlive = false;
    for (SessionHop hop : hops) {
      if (hop.entry == entry && !hop.isFinished) {
        hop.isFinished = true;
        hop.forwardingTo = null;
        hop.closeAttempts(-1);
        breakOff(hop.call, "closed");
      }
    }
  }

  private void runNextTimer() {
    SessionHop hop = nextTimer().orElseThrow();
    now = Math.max(now, hop.machine.nextTimerNanos());
    executeAndCheck(hop, hop.machine.timer(now));
  }

  private Optional<SessionHop> nextTimer() {
    return hops.stream()
        .filter(hop -> !hop.isFinished && hop.machine.nextTimerNanos() != Long.MAX_VALUE)
        .min(Comparator.comparingLong(hop -> hop.machine.nextTimerNanos()));
  }

  private SessionHop forwardingHop(String id) {
    return hops.stream()
        .filter(hop -> hop.call.id.equals(id) && hop.forwardingTo != null)
        .findFirst()
        .orElseThrow();
  }

  private SessionEntry entry(String name) {
    return Objects.requireNonNull(entries.get(name), name);
  }

  private String key(String name) {
    String[] parts = name.split("/", -1);
    return entry(parts[0]).issuer.prefix(SessionEntry.KEY_WINDOW_MILLIS, 0) + parts[1];
  }
}
