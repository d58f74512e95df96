package org.chivecross.logic.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.PeerMessage;

/**
 * Gossips which targets were seen leaving, so that entries without evidence of their own also stop
 * sending requests to these targets.
 *
 * <p>Recent marks are sent every 200 ms, since they must reach all entries through the rings of
 * neighbours within 2 s. All marks are sent every 5 s, for entries that have just started. A mark
 * carries the age of its evidence, so a mark that returns to an entry does not become younger.
 *
 * <p>Invariant: a message holds at most {@link #MAX_MARKS_PER_MESSAGE} marks, which keeps the
 * draining of many targets within the byte budget of an entry; further marks follow in later
 * messages. Not thread-safe; the tick thread calls all methods.
 */
public final class LeavingMarkGossip {

  private static final long RECENT_MARKS_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long ALL_MARKS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long MAX_RECENT_AGE_MILLIS = 2_000;

  /** 20 marks of about 30 bytes, sent to at most 6 neighbours 5 times a second: 18 KB/s. */
  static final int MAX_MARKS_PER_MESSAGE = 20;

  private final PeerOutbox outbox;
  private final Supplier<List<EntryMember>> receivers;
  private boolean started;
  private long nextRecentMarksNanos;
  private long nextAllMarksNanos;
  private int nextBatchStart;

  /**
   * Creates a sender of marks.
   *
   * @param receivers supplies the neighbours that gossip updates are sent to
   */
  public LeavingMarkGossip(PeerOutbox outbox, Supplier<List<EntryMember>> receivers) {
    this.outbox = outbox;
    this.receivers = receivers;
  }

  /** Sends those of this entry's current marks that are scheduled for now. */
  public void tick(List<LeavingMark> marks, long nowNanos) {
    boolean sendAll = !started || nowNanos - nextAllMarksNanos >= 0;
    boolean sendRecent = !started || nowNanos - nextRecentMarksNanos >= 0;
    started = true;
    if (sendAll) {
      nextAllMarksNanos = nowNanos + ALL_MARKS_PERIOD_NANOS;
    }
    if (sendRecent) {
      nextRecentMarksNanos = nowNanos + RECENT_MARKS_PERIOD_NANOS;
    }
    if (sendAll) {
      send(marks);
    } else if (sendRecent) {
      send(marks.stream().filter(mark -> mark.ageMillis() < MAX_RECENT_AGE_MILLIS).toList());
    }
  }

  private void send(List<LeavingMark> marks) {
    if (marks.isEmpty()) {
      return;
    }
    PeerMessage message = new PeerMessage.LeavingMarks(nextBatch(marks));
    for (EntryMember receiver : receivers.get()) {
      outbox.send(receiver.peerAddress(), message);
    }
  }

  private List<LeavingMark> nextBatch(List<LeavingMark> marks) {
    if (marks.size() <= MAX_MARKS_PER_MESSAGE) {
      return marks;
    }
    List<LeavingMark> batch = new ArrayList<>();
    for (int i = 0; i < MAX_MARKS_PER_MESSAGE; i++) {
      batch.add(marks.get((nextBatchStart + i) % marks.size()));
    }
    nextBatchStart = (nextBatchStart + MAX_MARKS_PER_MESSAGE) % marks.size();
    return batch;
  }
}
