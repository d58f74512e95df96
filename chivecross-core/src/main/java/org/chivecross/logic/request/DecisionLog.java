package org.chivecross.logic.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Step;
import org.chivecross.model.request.Decision;
import org.chivecross.model.request.RequestHead;

/**
 * Ring buffer of the latest decisions of interest to operators: answers made by the entry, aborted
 * answers, attempts after the first, and requests passed to the owner of their key.
 *
 * <p>Invariant: of two records for the same cell the newer one is kept. Thread-safe and lock-free.
 */
public final class DecisionLog {

  private static final int MAX_PATH_CHARS = 120;
  private static final int NONE = -1;

  private final AtomicReferenceArray<DecisionRecord> ring;
  private final AtomicLong next = new AtomicLong();

  /** Creates a log of the last {@code capacity} decisions. */
  public DecisionLog(int capacity) {
    ring = new AtomicReferenceArray<>(capacity);
  }

  /** Returns a factory whose machines add the decisions of {@code machines} to this log. */
  public RequestMachines recorded(RequestMachines machines) {
    return () -> new RecordingRequestMachine(machines.create(), this);
  }

  /** Returns the records, newest first. */
  public List<DecisionRecord> newestFirst() {
    List<DecisionRecord> records = new ArrayList<>();
    for (int i = 0; i < ring.length(); i++) {
      DecisionRecord decision = ring.get(i);
      if (decision != null) {
        records.add(decision);
      }
    }
    records.sort(Comparator.comparingLong(DecisionRecord::sequence).reversed());
    return records;
  }

  /** Adds a decision about a request, unless it is a routine one. */
  void add(RequestHead head, Decision decision, long nowNanos) {
    if (decision instanceof Decision.Answer answer) {
      String outcome = answer.outcome().headerValue();
      put(
          head,
          nowNanos,
          new Cause("answer", NONE, NONE, answer.status(), outcome, answer.failure()));
    } else if (decision instanceof Decision.Abort abort) {
      put(head, nowNanos, new Cause("abort", NONE, NONE, 0, "", abort.failure()));
    } else if (decision instanceof Decision.Send send && send.attempt() > 0) {
      Failure cause = new Failure(Step.SEND_REQUEST, Failure.LOCAL, "attempt after the first");
      put(head, nowNanos, new Cause("resend", send.attempt(), send.target(), 0, "", cause));
    } else if (decision instanceof Decision.PassToOwner pass) {
      String owner = "entry " + Long.toHexString(pass.ownerIncarnation());
      Failure cause = new Failure(Step.KEY_LOOKUP, owner, "owner of the key");
      put(head, nowNanos, new Cause("pass-to-owner", NONE, NONE, 0, "", cause));
    }
  }

  private void put(RequestHead head, long nowNanos, Cause cause) {
    long sequence = next.getAndIncrement();
    String path = head.path();
    DecisionRecord added =
        new DecisionRecord(
            sequence,
            nowNanos,
            head.method(),
            head.host(),
            path.length() > MAX_PATH_CHARS ? path.substring(0, MAX_PATH_CHARS) : path,
            cause.action(),
            cause.attempt(),
            cause.target(),
            cause.status(),
            cause.outcome(),
            cause.failure().step().name(),
            cause.failure().peer(),
            cause.failure().detail());
    ring.accumulateAndGet(
        (int) (sequence % ring.length()),
        added,
        (old, newer) -> old != null && old.sequence() > newer.sequence() ? old : newer);
  }

  /** Part of a record that does not come from the request. */
  private record Cause(
      String action, int attempt, int target, int status, String outcome, Failure failure) {}
}
