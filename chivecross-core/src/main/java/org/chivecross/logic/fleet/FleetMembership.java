package org.chivecross.logic.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;

/**
 * The other entries that were heard of late. Not thread-safe.
 *
 * <p>Invariant: an older incarnation of an entry never replaces a newer one that was heard later.
 */
final class FleetMembership {

  /** Silence after which an entry counts as gone: three heartbeats that were lost or not sent. */
  static final long GONE_MILLIS = 3_500;

  /** The same of another data centre; word of it comes by three messages, one a second each. */
  static final long FAR_GONE_MILLIS = 6_000;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** What is known of one entry. */
  private record Row(
      String ip,
      long incarnation,
      String dataCentre,
      boolean ready,
      long heardNanos,
      int requestsPerSecond) {}

  private final String dataCentre;
  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<String, Long> directNanos = new HashMap<>();

  /** Creates an empty roster for an entry of a data centre. */
  FleetMembership(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /** Notes a message of an entry. */
  void heard(String ip, FleetMessage message, long nowNanos) {
    directNanos.put(ip, nowNanos);
    rows.put(
        ip,
        new Row(
            ip,
            message.incarnation(),
            message.dataCentre(),
            message.ready(),
            nowNanos,
            message.requestsPerSecond()));
  }

  /** Takes over what another entry has heard. */
  void merge(Collection<FleetMember> members, String ownIp, long nowNanos) {
    for (FleetMember member : members) {
      long heardNanos = nowNanos - member.ageMillis() * NANOS_PER_MILLI;
      Row known = rows.get(member.ip());
      boolean newer = known == null || heardNanos > known.heardNanos();
      if (newer
          && !member.ip().equals(ownIp)
          && member.ageMillis() < goneMillis(member.dataCentre())) {
        rows.put(
            member.ip(),
            new Row(
                member.ip(),
                member.incarnation(),
                member.dataCentre(),
                member.ready(),
                heardNanos,
                member.requestsPerSecond()));
      }
    }
  }

  /** Forgets entries that were not heard for long. */
  void expire(long nowNanos) {
    rows.values()
        .removeIf(
            row -> nowNanos - row.heardNanos() > goneMillis(row.dataCentre()) * NANOS_PER_MILLI);
    directNanos.values().removeIf(heard -> nowNanos - heard > GONE_MILLIS * NANOS_PER_MILLI);
  }

  private long goneMillis(String ofDataCentre) {
    return ofDataCentre.equals(dataCentre) ? GONE_MILLIS : FAR_GONE_MILLIS;
  }

  /** Returns the entries, by IP number. */
  List<FleetMember> members(long nowNanos) {
    List<FleetMember> members = new ArrayList<>();
    for (Row row : rows.values()) {
      long age = Math.max(0, (nowNanos - row.heardNanos()) / NANOS_PER_MILLI);
      members.add(
          new FleetMember(
              row.ip(),
              row.incarnation(),
              row.dataCentre(),
              row.ready(),
              age,
              row.requestsPerSecond()));
    }
    members.sort(Comparator.comparing(FleetMember::ip));
    return members;
  }

  /** Returns whether an entry has sent a message itself of late. */
  boolean isHeardDirectly(String ip) {
    return directNanos.containsKey(ip);
  }

  boolean contains(String ip) {
    return rows.containsKey(ip);
  }
}
