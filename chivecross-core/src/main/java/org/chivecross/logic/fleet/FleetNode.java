package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.ruleset.RuleSet;

/**
 * One entry among the others: tells that it lives, learns who else does, and shares reads of the
 * platform's store.
 *
 * <p>No entry is appointed to read. Each reads when its view is older than a bound that grows with
 * its rank, so that normally the first in rank reads, tells the others, and the next one takes over
 * when it is silent, cut off or turned away. Not thread-safe: all calls are made under one lock.
 */
public final class FleetNode {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Age of the view at which the first in rank reads again; the drain bound is four times that. */
  private static final long READ_AGE_NANOS = 400 * NANOS_PER_MILLI;

  /**
   * Entries of a data centre to which the others tell that they live, and which tell it to all
   * there; with three of them, the loss of two delays no news.
   */
  private static final int HUBS = 3;

  /** Longest wait for the view of another entry before the store is read after a restart. */
  private static final long RESTART_WAIT_NANOS = 60 * NANOS_PER_MILLI;

  /** The same at the first start of all, when no caller waits yet. */
  private static final long FIRST_START_WAIT_NANOS = 2_000 * NANOS_PER_MILLI;

  /** Pause after failed reads, doubled with each failure in a row. */
  private static final long FIRST_PAUSE_NANOS = 150 * NANOS_PER_MILLI;

  private static final long LONGEST_PAUSE_NANOS = 1_200 * NANOS_PER_MILLI;

  /** Time between heartbeats; an entry counts as gone after three and a half. */
  private static final long HEARTBEAT_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Least time between two questions for a whole view. */
  private static final long ASK_NANOS = 150 * NANOS_PER_MILLI;

  private final FleetPreferences preferences;
  private final FleetPort port;
  private final RandomGenerator random;
  private final FleetMembership roster;
  private final PlatformView view = new PlatformView();
  private final LoadShare share = new LoadShare();
  private final Set<String> waitingForView = new TreeSet<>();
  private List<String> seeds;
  private boolean ready;
  private boolean reading;
  private long readSentNanos;
  private int failedReads;
  private long noReadBeforeNanos = Long.MIN_VALUE;
  private boolean wholeNext;
  private boolean started;
  private long heartbeatNanos = Long.MIN_VALUE;
  private long lackingNanos = Long.MAX_VALUE;
  private long askedNanos = Long.MIN_VALUE / 2;
  private long jitterNanos;
  private int requestsPerSecond;

  /** Creates a node that knows nothing. */
  public FleetNode(FleetPreferences preferences, FleetPort port, RandomGenerator random) {
    this.preferences = preferences;
    roster = new FleetMembership(preferences.dataCentre());
    seeds = preferences.seeds();
    this.port = port;
    this.random = random;
  }

  /** Does what is due. */
  public void tick(long nowNanos) {
    if (!started) {
      started = true;
      noReadBeforeNanos = nowNanos + firstWaitNanos();
    }
    roster.expire(nowNanos);
    if (view.expire(nowNanos)) {
      port.viewChanged(false);
    }
    if (nowNanos >= heartbeatNanos) {
      heartbeatNanos = nowNanos + HEARTBEAT_NANOS;
      heartbeat(nowNanos);
    }
    if (!reading && nowNanos >= readDueNanos(nowNanos)) {
      reading = true;
      readSentNanos = nowNanos;
      boolean whole = wholeNext || !view.isKnown() || view.lacksRules();
      port.read(whole ? OptionalLong.empty() : OptionalLong.of(view.revision()));
    }
  }

  /** Returns when {@link #tick} must be called at the latest. */
  public long nextTickNanos(long nowNanos) {
    long read = reading ? Long.MAX_VALUE : readDueNanos(nowNanos);
    return Math.min(heartbeatNanos, read);
  }

  /** A read of the store ended. */
  public void readEnded(StoreChange change, long nowNanos) {
    reading = false;
    failedReads = 0;
    wholeNext = false;
    jitterNanos = random.nextLong(ReadOrder.STEP_NANOS / 2);
    boolean first = !view.isKnown();
    PlatformView.Update update = view.apply(change, readSentNanos, nowNanos);
    if (first || !update.isEmpty()) {
      port.viewChanged(update.newRules());
    }
    publish(update, nowNanos);
    tellWaiting(nowNanos);
  }

  /**
   * A read of the store failed.
   *
   * @param historyLost whether the store answered that changes since the known revision are lost
   */
  public void readFailed(boolean historyLost, long nowNanos) {
    reading = false;
    if (historyLost) {
      wholeNext = true;
      return;
    }
    failedReads++;
    long pause = FIRST_PAUSE_NANOS << Math.min(failedReads - 1, 3);
    long bounded = Math.min(LONGEST_PAUSE_NANOS, pause);
    noReadBeforeNanos = nowNanos + bounded / 2 + random.nextLong(bounded);
  }

  /** Replaces the IP numbers of VMs on which entries are likely to run. */
  public void setSeeds(List<String> next) {
    seeds = List.copyOf(next);
  }

  /** Notes the requests that this entry takes from callers in a second, for the others to know. */
  public void setRequestsPerSecond(int value) {
    requestsPerSecond = value;
  }

  /**
   * Returns this entry's part of budgets that all entries share, from 0 to 1: its part of the
   * requests. The parts of all entries add up to 1 at the most, also while some can't hear others.
   */
  public double budgetShare(long nowNanos) {
    share.note(roster.members(nowNanos), nowNanos);
    boolean expectsOthers = seeds.stream().anyMatch(seed -> !seed.equals(preferences.ip()));
    return share.others() == 0 && expectsOthers ? 0 : share.part(requestsPerSecond);
  }

  /** Returns the number of entries that share the budgets; 0 before others are known. */
  public int budgetEntries() {
    return share.others() == 0 ? 0 : share.others() + 1;
  }

  /** Tells the others at once whether this entry takes new callers. */
  public void setReady(boolean value, long nowNanos) {
    if (ready != value) {
      ready = value;
      FleetMessage news = message(List.of(), Optional.empty(), false, false);
      near(nowNanos).forEach(member -> port.send(member.ip(), news));
    }
  }

  /** A message of another entry arrived. */
  public void received(String ip, FleetMessage message, long nowNanos) {
    if (message.incarnation() == preferences.incarnation() || ip.equals(preferences.ip())) {
      return;
    }
    roster.heard(ip, message, nowNanos);
    roster.merge(message.members(), preferences.ip(), nowNanos);
    message.view().ifPresent(news -> receivedView(ip, message, news, nowNanos));
    if (message.asksMembers() || message.asksView()) {
      answer(ip, message, nowNanos);
    }
  }

  private void answer(String ip, FleetMessage question, long nowNanos) {
    boolean isNear = question.dataCentre().equals(preferences.dataCentre());
    boolean startsAnew = question.knownRulesVersion() == 0;
    // A whole view is large, so an entry that has just started gets it from its own data centre.
    boolean mayHaveView = question.asksView() && (isNear || !startsAnew);
    if (mayHaveView && !view.isKnown()) {
      waitingForView.add(ip);
    }
    boolean lacksRules = question.knownRulesVersion() < view.rulesVersion();
    Optional<ViewUpdate> whole =
        mayHaveView && view.isKnown()
            ? Optional.of(view.whole(lacksRules, nowNanos))
            : Optional.empty();
    List<FleetMember> members =
        question.asksMembers() ? roster.members(nowNanos) : List.<FleetMember>of();
    port.send(ip, message(members, whole, false, false));
  }

  /** Sends the view to entries that asked for it before it was known. */
  private void tellWaiting(long nowNanos) {
    if (waitingForView.isEmpty() || !view.isKnown()) {
      return;
    }
    FleetMessage whole = message(List.of(), Optional.of(view.whole(true, nowNanos)), false, false);
    waitingForView.forEach(ip -> port.send(ip, whole));
    waitingForView.clear();
  }

  /**
   * Returns how long to wait for the view of another entry before the store is read. The seeds
   * don't wait; the others read at different times.
   */
  private long firstWaitNanos() {
    if (seeds.isEmpty() || seeds.contains(preferences.ip())) {
      return 0;
    }
    long most = preferences.firstStart() ? FIRST_START_WAIT_NANOS : RESTART_WAIT_NANOS;
    return most / 4 + random.nextLong(most - most / 4);
  }

  /** Returns the rules in force, if any are known. */
  public Optional<RuleSet> rules() {
    return view.rules();
  }

  /** Returns the registered targets. */
  public Collection<RegisteredTarget> targets() {
    return view.targets();
  }

  /** Returns whether the store was read. */
  public boolean hasView() {
    return view.isKnown();
  }

  /** Returns the revision of the store that is known. */
  public long revision() {
    return view.revision();
  }

  /** Returns the age of what is known of the store, in ms. */
  public long viewAgeMillis(long nowNanos) {
    return view.ageMillis(nowNanos);
  }

  /** Returns the other entries that were heard of late. */
  public List<FleetMember> others(long nowNanos) {
    return roster.members(nowNanos);
  }

  private void receivedView(String ip, FleetMessage message, ViewUpdate news, long nowNanos) {
    boolean foreign = !message.dataCentre().equals(preferences.dataCentre());
    boolean newer = news.revision() > view.revision() || !view.isKnown();
    long ageBefore = view.ageMillis(nowNanos);
    PlatformView.Update update = view.apply(news, nowNanos);
    if (!update.isEmpty()) {
      port.viewChanged(update.newRules());
    }
    tellWaiting(nowNanos);
    if (foreign && (newer || !update.isEmpty() || news.ageMillis() + 100 < ageBefore)) {
      sendNear(update, nowNanos);
    }
    // Since when newer rules are known to exist; they are read when nobody tells them for long.
    if (!view.lacksRules()) {
      lackingNanos = Long.MAX_VALUE;
    } else if (lackingNanos == Long.MAX_VALUE) {
      lackingNanos = nowNanos;
    }
    boolean differs = news.revision() >= view.revision() && news.digest() != view.digest();
    boolean lacksRules = news.rulesVersion() > view.rulesVersion();
    if (!differs && !lacksRules && view.isKnown()) {
      return;
    }
    if (nowNanos - askedNanos >= ASK_NANOS) {
      askedNanos = nowNanos;
      port.send(ip, message(List.of(), Optional.empty(), false, true));
    }
  }

  /** Tells all entries near and one in each other data centre, which tells those near it. */
  private void publish(PlatformView.Update update, long nowNanos) {
    sendNear(update, nowNanos);
    FleetMessage far =
        message(List.of(), Optional.of(view.news(update, false, nowNanos)), false, false);
    TreeMap<String, String> first = new TreeMap<>();
    for (FleetMember member : roster.members(nowNanos)) {
      if (!member.dataCentre().equals(preferences.dataCentre())) {
        first.putIfAbsent(member.dataCentre(), member.ip());
      }
    }
    first.values().forEach(ip -> port.send(ip, far));
  }

  private void sendNear(PlatformView.Update update, long nowNanos) {
    FleetMessage near =
        message(
            List.of(), Optional.of(view.news(update, update.newRules(), nowNanos)), false, false);
    near(nowNanos).forEach(member -> port.send(member.ip(), near));
  }

  /** Returns the other entries of this data centre, by IP number. */
  private List<FleetMember> near(long nowNanos) {
    return roster.members(nowNanos).stream()
        .filter(member -> member.dataCentre().equals(preferences.dataCentre()))
        .toList();
  }

  private void heartbeat(long nowNanos) {
    List<FleetMember> members = roster.members(nowNanos);
    List<FleetMember> near = near(nowNanos);
    long before = near.stream().filter(m -> m.ip().compareTo(preferences.ip()) < 0).count();
    boolean isHub = before < HUBS;
    boolean asksView = !view.isKnown();
    // An entry that takes this one for a hub is made known to the real ones.
    List<FleetMember> told =
        isHub ? members : near.stream().filter(m -> roster.isHeardDirectly(m.ip())).toList();
    FleetMessage alive = message(told, Optional.empty(), false, asksView && !isHub);
    List<FleetMember> receivers = isHub ? near : near.subList(0, Math.min(HUBS, near.size()));
    receivers.forEach(member -> port.send(member.ip(), alive));
    if (before == 0) {
      List<FleetMember> far = new ArrayList<>(members);
      far.removeAll(near);
      sendFar(near, far);
    }
    FleetMessage hello = message(List.of(), Optional.empty(), true, asksView);
    for (String seed : seeds) {
      if (!seed.equals(preferences.ip()) && !roster.contains(seed)) {
        port.send(seed, hello);
      }
    }
  }

  /** Tells one entry in each other data centre who is alive, here and there. */
  private void sendFar(List<FleetMember> near, List<FleetMember> far) {
    TreeMap<String, List<FleetMember>> byDataCentre = new TreeMap<>();
    far.forEach(
        member ->
            byDataCentre.computeIfAbsent(member.dataCentre(), dc -> new ArrayList<>()).add(member));
    for (List<FleetMember> there : byDataCentre.values()) {
      int hubs = Math.min(HUBS, there.size());
      // Entries there that don't know each other learn so of all that are known here.
      List<FleetMember> told = new ArrayList<>(near);
      told.addAll(there);
      String hub = there.get(random.nextInt(hubs)).ip();
      port.send(hub, message(told, Optional.empty(), false, false));
    }
  }

  private long readDueNanos(long nowNanos) {
    if (!view.isKnown()) {
      return Math.max(noReadBeforeNanos, Long.MIN_VALUE);
    }
    if (wholeNext) {
      return noReadBeforeNanos;
    }
    long since = view.lacksRules() ? Math.min(lackingNanos, view.asOfNanos()) : view.asOfNanos();
    int rank = ReadOrder.rank(preferences.ip(), preferences.dataCentre(), roster.members(nowNanos));
    long steps = ReadOrder.delayNanos(rank);
    return Math.max(since + READ_AGE_NANOS + steps + jitterNanos, noReadBeforeNanos);
  }

  private FleetMessage message(
      List<FleetMember> members, Optional<ViewUpdate> news, boolean asksMembers, boolean asksView) {
    return new FleetMessage(
        preferences.incarnation(),
        preferences.dataCentre(),
        ready,
        asksMembers,
        asksView,
        view.rulesVersion(),
        requestsPerSecond,
        members,
        news);
  }
}
