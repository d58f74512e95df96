package org.chivecross.logic.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.PeerMessage;

/**
 * Tells the neighbours which targets were seen leaving, so that an entry that has no evidence of
 * its own stops sending them work as well.
 *
 * <p>Young marks are repeated at a short period, since they must cross all rings of neighbours
 * within 2 s; old ones seldom, for entries that start. A mark keeps the age of its evidence on its
 * way, so passing it on in circles does not renew it.
 *
 * <p>Invariant: a message holds at most {@link #MOST_MARKS} marks, which keeps a drain of many
 * targets within the byte budget of a node; more marks take turns. Not thread-safe; the tick thread
 * calls all methods.
 */
public final class LeavingMarkGossip {

  private static final long YOUNG_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long OLD_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long YOUNG_MILLIS = 2_000;

  /** About 30 bytes each, to at most 6 neighbours 5 times a second: 18 KB/s. */
  static final int MOST_MARKS = 20;

  private final PeerOutbox outbox;
  private final Supplier<List<EntryMember>> receivers;
  private boolean started;
  private long nextYoungNanos;
  private long nextOldNanos;
  private int cursor;

  /**
   * Creates an exchange.
   *
   * @param receivers neighbours that news is passed to
   */
  public LeavingMarkGossip(PeerOutbox outbox, Supplier<List<EntryMember>> receivers) {
    this.outbox = outbox;
    this.receivers = receivers;
  }

  /** Sends what is due of the marks that stand at this entry. */
  public void tick(List<LeavingMark> marks, long nowNanos) {
    boolean oldDue = !started || nowNanos - nextOldNanos >= 0;
    boolean youngDue = !started || nowNanos - nextYoungNanos >= 0;
    started = true;
    if (oldDue) {
      nextOldNanos = nowNanos + OLD_PERIOD_NANOS;
    }
    if (youngDue) {
      nextYoungNanos = nowNanos + YOUNG_PERIOD_NANOS;
    }
    if (oldDue) {
      send(marks);
    } else if (youngDue) {
      send(marks.stream().filter(mark -> mark.ageMillis() < YOUNG_MILLIS).toList());
    }
  }

  private void send(List<LeavingMark> marks) {
    if (marks.isEmpty()) {
      return;
    }
    PeerMessage message = new PeerMessage.LeavingMarks(turn(marks));
    for (EntryMember receiver : receivers.get()) {
      outbox.send(receiver.peerAddress(), message);
    }
  }

  private List<LeavingMark> turn(List<LeavingMark> marks) {
    if (marks.size() <= MOST_MARKS) {
      return marks;
    }
    List<LeavingMark> turn = new ArrayList<>();
    for (int i = 0; i < MOST_MARKS; i++) {
      turn.add(marks.get((cursor + i) % marks.size()));
    }
    cursor = (cursor + MOST_MARKS) % marks.size();
    return turn;
  }
}
