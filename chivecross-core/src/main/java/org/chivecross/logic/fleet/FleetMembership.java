package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.ServiceLoad;

/**
 * Gossip membership of the fleet as one entry sees it: the other entries that were seen recently.
 * Not thread-safe.
 *
 * <p>Invariants: an older incarnation of an entry never replaces a newer one that was seen later;
 * the revision rises whenever an entry is added or removed or changes its data centre.
 */
final class FleetMembership {

  /** Time between heartbeats of an entry. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

  /** Time without messages after which a member expires: three heartbeats were missed. */
  static final long EXPIRY_MILLIS = 3_500;

  /**
   * The same for other data centres; a heartbeat passes three hops, each once a second. Directory
   * answers must not contain an entry that was killed 6 s ago.
   */
  static final long REMOTE_EXPIRY_MILLIS = 5_500;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** Last known state of one entry. */
  private record MemberRecord(
      String ip,
      long incarnation,
      String dataCentre,
      boolean ready,
      boolean isolated,
      long lastSeenNanos,
      int requestsPerSecond,
      boolean strained,
      List<ServiceLoad> serviceLoads) {}

  private final String dataCentre;
  private final Map<String, MemberRecord> recordsByIp = new TreeMap<>();
  private final Map<String, Long> lastDirectMessageNanos = new HashMap<>();
  private long revision;
  private long rankRevision = -1;
  private int readerRank;

  /** Creates an empty membership for an entry of a data centre. */
  FleetMembership(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /** Records a message received from an entry. */
  void recordMessage(String ip, FleetMessage message, long nowNanos) {
    lastDirectMessageNanos.put(ip, nowNanos);
    put(
        new MemberRecord(
            ip,
            message.incarnation(),
            message.dataCentre(),
            message.ready(),
            message.isolated(),
            nowNanos,
            message.requestsPerSecond(),
            message.strained(),
            message.serviceLoads()));
  }

  private void put(MemberRecord member) {
    MemberRecord before = recordsByIp.put(member.ip(), member);
    if (before == null || !before.dataCentre().equals(member.dataCentre())) {
      revision++;
    }
  }

  /** Returns the rank of this entry among those that read the store. */
  int readerRank(String ownIp, long nowNanos) {
    if (rankRevision != revision) {
      rankRevision = revision;
      readerRank = ReadOrder.rank(ownIp, dataCentre, members(nowNanos));
    }
    return readerRank;
  }

  /** Merges the members that another entry sent; the record seen last wins. */
  void merge(Collection<FleetMember> members, String ownIp, long nowNanos) {
    for (FleetMember member : members) {
      long lastSeenNanos = nowNanos - member.ageMillis() * NANOS_PER_MILLI;
      MemberRecord known = recordsByIp.get(member.ip());
      boolean isNewer = known == null || lastSeenNanos > known.lastSeenNanos();
      if (isNewer
          && !member.ip().equals(ownIp)
          && member.ageMillis() < expiryMillis(member.dataCentre())) {
        put(
            new MemberRecord(
                member.ip(),
                member.incarnation(),
                member.dataCentre(),
                member.ready(),
                member.isolated(),
                lastSeenNanos,
                member.requestsPerSecond(),
                member.strained(),
                member.serviceLoads()));
      }
    }
  }

  /** Removes members whose last message is too old. */
  void expire(long nowNanos) {
    boolean isAnyExpired =
        recordsByIp
            .values()
            .removeIf(
                member ->
                    nowNanos - member.lastSeenNanos()
                        > expiryMillis(member.dataCentre()) * NANOS_PER_MILLI);
    if (isAnyExpired) {
      revision++;
    }
    lastDirectMessageNanos
        .values()
        .removeIf(receivedNanos -> nowNanos - receivedNanos > EXPIRY_MILLIS * NANOS_PER_MILLI);
  }

  private long expiryMillis(String memberDataCentre) {
    return memberDataCentre.equals(dataCentre) ? EXPIRY_MILLIS : REMOTE_EXPIRY_MILLIS;
  }

  /** Returns the members that have not expired, ordered by IP address. */
  List<FleetMember> members(long nowNanos) {
    List<FleetMember> members = new ArrayList<>();
    for (MemberRecord member : recordsByIp.values()) {
      long age = Math.max(0, (nowNanos - member.lastSeenNanos()) / NANOS_PER_MILLI);
      if (age > expiryMillis(member.dataCentre())) {
        continue;
      }
      members.add(
          new FleetMember(
              member.ip(),
              member.incarnation(),
              member.dataCentre(),
              member.ready(),
              member.isolated(),
              age,
              member.requestsPerSecond(),
              member.strained(),
              member.serviceLoads()));
    }
    return members;
  }

  /**
   * Returns the members whose last message is at least one heartbeat interval short of the expiry,
   * ordered by IP address.
   */
  List<FleetMember> recentMembers(long nowNanos) {
    return members(nowNanos).stream()
        .filter(
            member ->
                member.ageMillis() <= expiryMillis(member.dataCentre()) - HEARTBEAT_INTERVAL_MILLIS)
        .toList();
  }

  /** Returns the members in the same data centre, ordered by IP address. */
  List<FleetMember> localMembers(long nowNanos) {
    return members(nowNanos).stream()
        .filter(member -> member.dataCentre().equals(dataCentre))
        .toList();
  }

  /** Returns the IP addresses of the members in the same data centre. */
  List<String> localIps(long nowNanos) {
    return localMembers(nowNanos).stream().map(FleetMember::ip).toList();
  }

  /** Returns the IP address of the first member in each other data centre. */
  Collection<String> firstRemoteIps(long nowNanos) {
    TreeMap<String, String> firstByDataCentre = new TreeMap<>();
    for (FleetMember member : members(nowNanos)) {
      if (!member.dataCentre().equals(dataCentre)) {
        firstByDataCentre.putIfAbsent(member.dataCentre(), member.ip());
      }
    }
    return firstByDataCentre.values();
  }

  /** Returns whether a message came from the entry itself, not relayed, within the expiry time. */
  boolean hasRecentDirectMessage(String ip) {
    return lastDirectMessageNanos.containsKey(ip);
  }

  boolean contains(String ip) {
    return recordsByIp.containsKey(ip);
  }
}
