package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.StoreChange;
import org.chivecross.model.fleet.ViewNews;
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

  /** Additional age for each place in rank, several times the way of a read and its news. */
  private static final long RANK_STEP_NANOS = 120 * NANOS_PER_MILLI;

  /** Places in rank that are told apart; the rest read at about the same time. */
  private static final int MAX_RANK = 5;

  /** Pause after failed reads, doubled with each failure in a row. */
  private static final long FIRST_PAUSE_NANOS = 150 * NANOS_PER_MILLI;

  private static final long LONGEST_PAUSE_NANOS = 1_200 * NANOS_PER_MILLI;

  /** Time between heartbeats; an entry counts as gone after three and a half. */
  private static final long HEARTBEAT_NANOS = 1_000 * NANOS_PER_MILLI;

  /**
   * Time for which the load of entries that fell silent still counts: they may be cut off from here
   * and go on using their parts of the budgets.
   */
  private static final long LOAD_MEMORY_NANOS = 30_000 * NANOS_PER_MILLI;

  /** Least time between two questions for a whole view. */
  private static final long ASK_NANOS = 150 * NANOS_PER_MILLI;

  private final FleetPreferences preferences;
  private final FleetPort port;
  private final RandomGenerator random;
  private final EntryRoster roster = new EntryRoster();
  private final PlatformView view = new PlatformView();
  private List<String> seeds;
  private boolean ready;
  private boolean reading;
  private long readSentNanos;
  private int failedReads;
  private long noReadBeforeNanos = Long.MIN_VALUE;
  private boolean wholeNext = true;
  private long heartbeatNanos = Long.MIN_VALUE;
  private long askedNanos = Long.MIN_VALUE / 2;
  private long jitterNanos;
  private int requestsPerSecond;
  private long largestLoad;
  private long largestLoadNanos = Long.MIN_VALUE / 2;

  /** Creates a node that knows nothing. */
  public FleetNode(FleetPreferences preferences, FleetPort port, RandomGenerator random) {
    this.preferences = preferences;
    seeds = preferences.seeds();
    this.port = port;
    this.random = random;
  }

  /** Does what is due. */
  public void tick(long nowNanos) {
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
      boolean whole = wholeNext || !view.isKnown();
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
    jitterNanos = random.nextLong(RANK_STEP_NANOS / 2);
    boolean first = !view.isKnown();
    PlatformView.Update update = view.apply(change, readSentNanos, nowNanos);
    if (first || !update.isEmpty()) {
      port.viewChanged(update.newRules());
    }
    publish(update, nowNanos);
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
  public double budgetPart(long nowNanos) {
    boolean alone = roster.size() == 0;
    if (alone && seeds.stream().anyMatch(seed -> !seed.equals(preferences.ip()))) {
      return largestLoad == 0 ? 0 : part();
    }
    long load = roster.totalLoad() + requestsPerSecond + 1;
    if (load >= largestLoad || nowNanos - largestLoadNanos > LOAD_MEMORY_NANOS) {
      largestLoad = load;
      largestLoadNanos = nowNanos;
    }
    return part();
  }

  private double part() {
    return Math.min(1, (requestsPerSecond + 1.0) / largestLoad);
  }

  /** Tells the others at once whether this entry takes new callers. */
  public void setReady(boolean value, long nowNanos) {
    if (ready != value) {
      ready = value;
      for (FleetMember member : roster.members(nowNanos)) {
        port.send(member.ip(), message(List.of(), Optional.empty(), false, false));
      }
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
      boolean lacksRules = message.knownRulesVersion() < view.rulesVersion();
      Optional<ViewNews> whole =
          message.asksView() && view.isKnown()
              ? Optional.of(view.whole(lacksRules, nowNanos))
              : Optional.empty();
      List<FleetMember> members =
          message.asksMembers() ? roster.members(nowNanos) : List.<FleetMember>of();
      port.send(ip, message(members, whole, false, false));
    }
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
  public boolean isKnown() {
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

  private void receivedView(String ip, FleetMessage message, ViewNews news, long nowNanos) {
    boolean foreign = !message.dataCentre().equals(preferences.dataCentre());
    boolean newer = news.revision() > view.revision() || !view.isKnown();
    long ageBefore = view.ageMillis(nowNanos);
    PlatformView.Update update = view.apply(news, nowNanos);
    if (!update.isEmpty()) {
      port.viewChanged(update.newRules());
    }
    if (foreign && (newer || !update.isEmpty() || news.ageMillis() + 100 < ageBefore)) {
      sendNear(update, nowNanos);
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
    for (FleetMember member : roster.members(nowNanos)) {
      if (member.dataCentre().equals(preferences.dataCentre())) {
        port.send(member.ip(), near);
      }
    }
  }

  private void heartbeat(long nowNanos) {
    List<FleetMember> members = roster.members(nowNanos);
    List<FleetMember> near = new ArrayList<>();
    List<FleetMember> far = new ArrayList<>();
    for (FleetMember member : members) {
      boolean isNear = member.dataCentre().equals(preferences.dataCentre());
      (isNear ? near : far).add(member);
    }
    FleetMessage alive = message(far, Optional.empty(), false, false);
    near.forEach(member -> port.send(member.ip(), alive));
    boolean delegate = near.isEmpty() || preferences.ip().compareTo(near.get(0).ip()) < 0;
    if (delegate) {
      sendFar(near, far);
    }
    FleetMessage hello = message(List.of(), Optional.empty(), true, !view.isKnown());
    for (String seed : seeds) {
      if (!seed.equals(preferences.ip()) && !roster.contains(seed)) {
        port.send(seed, hello);
      }
    }
  }

  /** Tells one entry in each other data centre who is alive here. */
  private void sendFar(List<FleetMember> near, List<FleetMember> far) {
    TreeMap<String, List<FleetMember>> byDataCentre = new TreeMap<>();
    far.forEach(
        member ->
            byDataCentre.computeIfAbsent(member.dataCentre(), dc -> new ArrayList<>()).add(member));
    FleetMessage message = message(near, Optional.empty(), false, false);
    for (List<FleetMember> there : byDataCentre.values()) {
      port.send(there.get(random.nextInt(there.size())).ip(), message);
    }
  }

  private long readDueNanos(long nowNanos) {
    if (!view.isKnown()) {
      return Math.max(noReadBeforeNanos, Long.MIN_VALUE);
    }
    if (wholeNext) {
      return noReadBeforeNanos;
    }
    long due = view.asOfNanos() + READ_AGE_NANOS + rank(nowNanos) * RANK_STEP_NANOS + jitterNanos;
    return Math.max(due, noReadBeforeNanos);
  }

  /** Returns this entry's place: the first of each data centre come before the second ones. */
  private int rank(long nowNanos) {
    TreeMap<String, Integer> before = new TreeMap<>();
    int ownPlace = 0;
    for (FleetMember member : roster.members(nowNanos)) {
      before.merge(member.dataCentre(), 1, Integer::sum);
      boolean near = member.dataCentre().equals(preferences.dataCentre());
      if (near && member.ip().compareTo(preferences.ip()) < 0) {
        ownPlace++;
      }
    }
    before.putIfAbsent(preferences.dataCentre(), 0);
    int rank = 0;
    for (var other : before.entrySet()) {
      boolean own = other.getKey().equals(preferences.dataCentre());
      boolean earlier = other.getKey().compareTo(preferences.dataCentre()) < 0;
      if (!own) {
        rank += Math.min(other.getValue(), ownPlace + (earlier ? 1 : 0));
      }
    }
    return Math.min(MAX_RANK, rank + ownPlace);
  }

  private FleetMessage message(
      List<FleetMember> members, Optional<ViewNews> news, boolean asksMembers, boolean asksView) {
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
