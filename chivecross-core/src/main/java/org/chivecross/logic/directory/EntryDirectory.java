package org.chivecross.logic.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.membership.RendezvousHash;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.fileset.DataCentreLink;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;

/**
 * Orders the entries for a caller: nearest data centre first, within it by rendezvous hash of the
 * caller. Of the first few by hash the one that this entry gave out least becomes the first, which
 * keeps callers spread more evenly than hashing alone.
 *
 * <p>Invariant: an answer names every usable entry, or every entry not known dead when none is
 * usable. Safe for use by many threads.
 */
public final class EntryDirectory {

  /** Lifetime of an answer that was made without a fresh view, in ms. */
  public static final long STALE_VIEW_LIFETIME_MILLIS = 1_000;

  private static final int FIRST_ENTRY_CHOICES = 3;
  private static final int ANSWERS_BEFORE_HALVING = 4_096;

  private final Map<Long, AtomicInteger> firstPlaceCounts = new ConcurrentHashMap<>();
  private final AtomicInteger answers = new AtomicInteger();

  /** Creates a directory that has given nothing out. */
  public EntryDirectory() {}

  /**
   * Answers a caller.
   *
   * @param caller name that the caller gave itself
   * @param dataCentre data centre of the caller, or of this entry when it gave none
   */
  public DirectoryAnswer answer(String caller, String dataCentre, NodeView view) {
    MemberView members = view.members();
    List<EntryMember> entries = candidates(members);
    long key = RendezvousHash.of(caller);
    ToLongFunction<EntryMember> distance = distances(dataCentre, view.config().fileSet());
    Comparator<EntryMember> byHash =
        Comparator.comparingLong(entry -> RendezvousHash.weight(key, entry.incarnation()));
    entries.sort(Comparator.comparingLong(distance).thenComparing(byHash));
    moveLeastUsedToFront(entries, distance);
    countFirstPlace(entries.get(0).incarnation());
    List<String> addresses = entries.stream().map(EntryMember::clientAddress).toList();
    return new DirectoryAnswer(addresses, entries.get(0).incarnation(), lifetimeMillis(view));
  }

  /** Returns the longest lifetime that an answer may have, in ms. */
  public static long lifetimeMillis(NodeView view) {
    long full =
        view.config()
            .fileSet()
            .map(set -> (long) set.deployment().directoryLifetimeMillis())
            .orElse(STALE_VIEW_LIFETIME_MILLIS);
    return view.members().fresh() ? full : Math.min(full, STALE_VIEW_LIFETIME_MILLIS);
  }

  private static List<EntryMember> candidates(MemberView members) {
    List<EntryMember> all = new ArrayList<>(members.others());
    all.add(members.self());
    List<EntryMember> usable = new ArrayList<>(all);
    usable.removeIf(entry -> !entry.isUsable());
    if (!usable.isEmpty()) {
      return usable;
    }
    List<EntryMember> alive = new ArrayList<>(all);
    alive.removeIf(entry -> entry.state() == MemberState.DEAD);
    return alive;
  }

  private static ToLongFunction<EntryMember> distances(
      String dataCentre, Optional<FileSet> fileSet) {
    Map<String, Long> micros = new ConcurrentHashMap<>();
    if (fileSet.isPresent()) {
      Deployment deployment = fileSet.get().deployment();
      for (DataCentreLink link : deployment.links()) {
        if (link.from().equals(dataCentre)) {
          micros.put(link.to(), (long) link.roundTripMicros());
        } else if (link.to().equals(dataCentre)) {
          micros.put(link.from(), (long) link.roundTripMicros());
        }
      }
    }
    micros.put(dataCentre, 0L);
    return entry -> micros.getOrDefault(entry.dataCentre(), Long.MAX_VALUE);
  }

  private void moveLeastUsedToFront(
      List<EntryMember> entries, ToLongFunction<EntryMember> distance) {
    long nearest = distance.applyAsLong(entries.get(0));
    int best = 0;
    int choices = Math.min(FIRST_ENTRY_CHOICES, entries.size());
    for (int i = 1; i < choices; i++) {
      EntryMember entry = entries.get(i);
      boolean near = distance.applyAsLong(entry) == nearest;
      if (near && firstPlaceCount(entry) < firstPlaceCount(entries.get(best))) {
        best = i;
      }
    }
    entries.add(0, entries.remove(best));
  }

  private int firstPlaceCount(EntryMember entry) {
    AtomicInteger count = firstPlaceCounts.get(entry.incarnation());
    return count == null ? 0 : count.get();
  }

  private void countFirstPlace(long incarnation) {
    firstPlaceCounts.computeIfAbsent(incarnation, unused -> new AtomicInteger()).incrementAndGet();
    if (answers.incrementAndGet() % ANSWERS_BEFORE_HALVING == 0) {
      firstPlaceCounts.values().removeIf(count -> count.updateAndGet(n -> n / 2) == 0);
    }
  }
}
