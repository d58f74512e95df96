package org.chivecross.cli.entry.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.chivecross.cli.entry.admin.ConfigStatus;
import org.chivecross.cli.entry.admin.ReadinessStatus;
import org.chivecross.logic.config.ConfigView;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;

/** Converts the state of a fleet agent to records of the administration API. Stateless. */
public final class FleetStatus {

  /**
   * Last known state of one entry.
   *
   * @param incarnation random number that identifies its process, in hexadecimal
   * @param peerAddress address for other entries
   * @param clientAddress address for callers
   * @param dataCentre data centre
   * @param state alive, suspect or dead
   * @param ready whether it may serve callers
   * @param leaving whether it is leaving
   * @param overloaded whether it sheds requests
   * @param self whether it is the entry that reports
   */
  public record MemberStatus(
      String incarnation,
      String peerAddress,
      String clientAddress,
      String dataCentre,
      String state,
      boolean ready,
      boolean leaving,
      boolean overloaded,
      boolean self) {}

  private FleetStatus() {}

  /** Returns all entries, sorted by their address for callers. */
  public static List<MemberStatus> members(NodeView view) {
    EntryMember self = view.members().self();
    return Stream.concat(Stream.of(self), view.members().others().stream())
        .sorted(Comparator.comparing(EntryMember::clientAddress))
        .map(member -> member(member, member.incarnation() == self.incarnation()))
        .toList();
  }

  /** Returns whether callers may be sent to this entry, and otherwise the reason. */
  public static ReadinessStatus readiness(NodeView view) {
    return ReadinessStatus.of(view.ready() ? List.of() : List.of("waits for " + view.waitingFor()));
  }

  /** Returns the file set in force and the newest one that was refused after it. */
  public static ConfigStatus config(FleetAgent agent) {
    ConfigView config = agent.view().config();
    List<String> errors = new ArrayList<>();
    config.rejection().forEach(failure -> errors.add(text(failure)));
    ConfigStatus.RefusedConfig refused =
        errors.isEmpty()
            ? null
            : new ConfigStatus.RefusedConfig(config.newest().toString(), "", errors);
    if (config.fileSet().isEmpty()) {
      return new ConfigStatus("", "0.0", "", 0, 0, refused);
    }
    FileSet set = config.fileSet().get();
    int targets =
        set.services().stream()
            .flatMap(service -> service.targets().stream())
            .map(TargetGroup::addresses)
            .mapToInt(List::size)
            .sum();
    return new ConfigStatus(
        set.deployment().name(),
        config.inForce().toString(),
        agent.inForceSince().map(Object::toString).orElse(""),
        set.services().size(),
        targets,
        refused);
  }

  private static String text(Failure failure) {
    return failure.peer() + ": " + failure.detail();
  }

  private static MemberStatus member(EntryMember member, boolean self) {
    EntryFlags flags = member.flags();
    return new MemberStatus(
        String.format(Locale.ROOT, "%016x", member.incarnation()),
        member.peerAddress(),
        member.clientAddress(),
        member.dataCentre(),
        member.state().name().toLowerCase(Locale.ROOT),
        flags.ready(),
        flags.leaving(),
        flags.overloaded(),
        self);
  }
}
