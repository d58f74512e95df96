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
 * Orders the entries for a caller: by distance of the data centre, then by rendezvous hash of the
 * caller. Among the first few entries, the one that this directory has placed first least often is
 * moved to the front, which spreads callers more evenly than hashing alone.
 *
 * <p>Invariant: an answer lists every usable entry, or, if none is usable, every entry that is not
 * known to be dead. Safe for use by many threads.
 */
public final class EntryDirectory {

  /** Lifetime of an answer that is based on a stale view, in ms. */
  public static final long STALE_VIEW_LIFETIME_MILLIS = 1_000;

  private static final int FIRST_ENTRY_CHOICES = 3;
  private static final int ANSWERS_BEFORE_HALVING = 4_096;

  private final Map<Long, AtomicInteger> firstPlaceCounts = new ConcurrentHashMap<>();
  private final AtomicInteger answers = new AtomicInteger();

  /** Creates a directory whose counts are zero. */
  public EntryDirectory() {}

  /**
   * Answers a caller.
   *
   * @param caller name that the caller sent
   * @param dataCentre data centre of the caller, or of this entry if the caller sent none
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

  /** Returns the lifetime of an answer based on a view, in ms. */
  public static long lifetimeMillis(NodeView view) {
    long configuredMillis =
        view.config()
            .fileSet()
            .map(set -> (long) set.deployment().directoryLifetimeMillis())
            .orElse(STALE_VIEW_LIFETIME_MILLIS);
    return view.members().isUpToDate()
        ? configuredMillis
        : Math.min(configuredMillis, STALE_VIEW_LIFETIME_MILLIS);
  }

  private static List<EntryMember> candidates(MemberView members) {
    List<EntryMember> all = new ArrayList<>(members.others());
    all.add(members.self());
    List<EntryMember> usable = new ArrayList<>(all);
    usable.removeIf(entry -> !entry.isUsable());
    if (!usable.isEmpty()) {
      return usable;
    }
    List<EntryMember> notDead = new ArrayList<>(all);
    notDead.removeIf(entry -> entry.state() == MemberState.DEAD);
    return notDead;
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
      boolean isNearest = distance.applyAsLong(entry) == nearest;
      if (isNearest && firstPlaceCount(entry) < firstPlaceCount(entries.get(best))) {
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
