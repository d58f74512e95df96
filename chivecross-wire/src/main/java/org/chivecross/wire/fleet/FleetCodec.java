package org.chivecross.wire.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fleet.FleetMember;
import org.chivecross.model.fleet.FleetMessage;
import org.chivecross.model.fleet.RemovedTarget;
import org.chivecross.model.fleet.ServiceLoad;
import org.chivecross.model.fleet.StoreVersion;
import org.chivecross.model.fleet.SuspectRequest;
import org.chivecross.model.fleet.TargetEvidence;
import org.chivecross.model.fleet.TargetIncarnation;
import org.chivecross.model.fleet.TargetLimit;
import org.chivecross.model.fleet.TargetWarmUp;
import org.chivecross.model.fleet.ViewUpdate;
import org.chivecross.model.registry.RegisteredTarget;
import org.chivecross.model.registry.TargetAddress;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.wire.generated.fleet.EvacuationsNote;
import org.chivecross.wire.generated.fleet.FleetDatagram;
import org.chivecross.wire.generated.fleet.IncarnationNote;
import org.chivecross.wire.generated.fleet.LimitNote;
import org.chivecross.wire.generated.fleet.MemberNote;
import org.chivecross.wire.generated.fleet.RemovalNote;
import org.chivecross.wire.generated.fleet.ServiceLoadNote;
import org.chivecross.wire.generated.fleet.SuspectNote;
import org.chivecross.wire.generated.fleet.TargetNote;
import org.chivecross.wire.generated.fleet.ViewNote;
import org.chivecross.wire.generated.fleet.WarmUpNote;

/** Encodes gossip messages to datagrams and decodes them. Stateless. */
final class FleetCodec {

  private static final int PROTOCOL = 1;

  private FleetCodec() {}

  static byte[] encode(FleetMessage message) {
    FleetDatagram.Builder datagram =
        FleetDatagram.newBuilder()
            .setProtocol(PROTOCOL)
            .setIncarnation(message.incarnation())
            .setDataCentre(message.dataCentre())
            .setReady(message.ready())
            .setIsolated(message.isolated())
            .setAsksMembers(message.asksMembers())
            .setAsksView(message.asksView())
            .setKnownRulesVersion(message.knownRulesVersion())
            .setRequestsPerSecond(message.requestsPerSecond())
            .setStrained(message.strained());
    message.serviceLoads().forEach(load -> datagram.addServiceLoads(toNote(load)));
    for (FleetMember member : message.members()) {
      datagram.addMembers(toNote(member));
    }
    message.viewUpdate().ifPresent(update -> datagram.setView(toNote(update)));
    message.evidence().leaving().forEach(left -> datagram.addLeaving(toNote(left)));
    for (RemovedTarget removed : message.evidence().removed()) {
      datagram.addRemovals(
          RemovalNote.newBuilder()
              .setIncarnation(toNote(removed.incarnation()))
              .setEra(removed.era()));
    }
    message.evidence().limits().forEach(limit -> datagram.addLimits(toNote(limit)));
    message.evidence().suspects().forEach(suspect -> datagram.addSuspects(toNote(suspect)));
    for (TargetWarmUp warmUp : message.evidence().warmUps()) {
      datagram.addWarmUps(
          WarmUpNote.newBuilder()
              .setIncarnation(toNote(warmUp.incarnation()))
              .setRemainingMillis(toInt(warmUp.remainingMillis())));
    }
    return datagram.build().toByteArray();
  }

  /** Decodes a datagram; the result is a failure if any part of it is malformed. */
  static Result<FleetMessage> decode(byte[] bytes, String peer) {
    try {
      FleetDatagram datagram = FleetDatagram.parseFrom(bytes);
      if (datagram.getProtocol() != PROTOCOL) {
        return Result.failed(Step.PEER_MESSAGE, peer, "protocol " + datagram.getProtocol());
      }
      Optional<ViewUpdate> view =
          datagram.hasView() ? Optional.of(toUpdate(datagram.getView())) : Optional.empty();
      return Result.success(
          new FleetMessage(
              datagram.getIncarnation(),
              datagram.getDataCentre(),
              datagram.getReady(),
              datagram.getIsolated(),
              datagram.getAsksMembers(),
              datagram.getAsksView(),
              datagram.getKnownRulesVersion(),
              datagram.getRequestsPerSecond(),
              datagram.getMembersList().stream().map(FleetCodec::toMember).toList(),
              view,
              toEvidence(datagram),
              datagram.getStrained(),
              datagram.getServiceLoadsList().stream().map(FleetCodec::toLoad).toList()));
    } catch (InvalidProtocolBufferException e) {
      return Result.failed(Step.PEER_MESSAGE, peer, String.valueOf(e.getMessage()));
    }
  }

  private static MemberNote toNote(FleetMember member) {
    MemberNote.Builder note =
        MemberNote.newBuilder()
            .setIp(member.ip())
            .setIncarnation(member.incarnation())
            .setDataCentre(member.dataCentre())
            .setReady(member.ready())
            .setIsolated(member.isolated())
            .setAgeMillis((int) member.ageMillis())
            .setRequestsPerSecond(member.requestsPerSecond())
            .setStrained(member.strained());
    member.serviceLoads().forEach(load -> note.addServiceLoads(toNote(load)));
    return note.build();
  }

  private static ServiceLoadNote toNote(ServiceLoad load) {
    return ServiceLoadNote.newBuilder()
        .setServiceHash(load.serviceHash())
        .setPressure((float) load.pressure())
        .build();
  }

  private static ServiceLoad toLoad(ServiceLoadNote note) {
    return new ServiceLoad(note.getServiceHash(), note.getPressure());
  }

  private static FleetMember toMember(MemberNote note) {
    return new FleetMember(
        note.getIp(),
        note.getIncarnation(),
        note.getDataCentre(),
        note.getReady(),
        note.getIsolated(),
        note.getAgeMillis(),
        note.getRequestsPerSecond(),
        note.getStrained(),
        note.getServiceLoadsList().stream().map(FleetCodec::toLoad).toList());
  }

  private static IncarnationNote toNote(TargetIncarnation incarnation) {
    return IncarnationNote.newBuilder()
        .setId(incarnation.id())
        .setStartedAtMillis(incarnation.startedAtMillis())
        .build();
  }

  private static TargetEvidence toEvidence(FleetDatagram datagram) {
    return new TargetEvidence(
        datagram.getLeavingList().stream().map(FleetCodec::toIncarnation).toList(),
        datagram.getRemovalsList().stream()
            .map(note -> new RemovedTarget(toIncarnation(note.getIncarnation()), note.getEra()))
            .toList(),
        datagram.getLimitsList().stream().map(FleetCodec::toLimit).toList(),
        datagram.getSuspectsList().stream().map(FleetCodec::toSuspect).toList(),
        datagram.getWarmUpsList().stream()
            .map(
                note ->
                    new TargetWarmUp(
                        toIncarnation(note.getIncarnation()), note.getRemainingMillis()))
            .toList());
  }

  private static SuspectNote toNote(SuspectRequest suspect) {
    SuspectNote.Builder note =
        SuspectNote.newBuilder()
            .setFingerprint(suspect.fingerprint())
            .setEndAgeMillis(toInt(suspect.endAgeMillis()));
    suspect.ended().forEach(target -> note.addEnded(toNote(target)));
    suspect.completedAgeMillis().ifPresent(age -> note.setCompletedAgeMillis(toInt(age)));
    return note.build();
  }

  private static int toInt(long millis) {
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }

  private static SuspectRequest toSuspect(SuspectNote note) {
    return new SuspectRequest(
        note.getFingerprint(),
        note.getEndedList().stream().map(FleetCodec::toIncarnation).toList(),
        note.getEndAgeMillis(),
        note.hasCompletedAgeMillis()
            ? OptionalLong.of(note.getCompletedAgeMillis())
            : OptionalLong.empty());
  }

  private static LimitNote toNote(TargetLimit limit) {
    LimitNote.Builder note =
        LimitNote.newBuilder()
            .setIncarnation(toNote(limit.incarnation()))
            .setAgeMillis(toInt(limit.ageMillis()));
    limit.requestsPerSecond().ifPresent(note::setRequestsPerSecond);
    return note.build();
  }

  private static TargetLimit toLimit(LimitNote note) {
    return new TargetLimit(
        toIncarnation(note.getIncarnation()),
        note.hasRequestsPerSecond()
            ? OptionalDouble.of(note.getRequestsPerSecond())
            : OptionalDouble.empty(),
        note.getAgeMillis());
  }

  private static TargetIncarnation toIncarnation(IncarnationNote note) {
    return new TargetIncarnation(note.getId(), note.getStartedAtMillis());
  }

  private static ViewNote toNote(ViewUpdate view) {
    ViewNote.Builder note =
        ViewNote.newBuilder()
            .setEra(view.version().era())
            .setRevision(view.version().revision())
            .setAgeMillis(toInt(view.ageMillis()))
            .setDigest(view.digest())
            .setRulesVersion(view.rulesVersion())
            .setWhole(view.isSnapshot())
            .addAllRemoved(view.removed());
    for (RegisteredTarget target : view.registered()) {
      note.addRegistered(
          TargetNote.newBuilder()
              .setId(target.id())
              .setStartedAtMillis(target.startedAtMillis())
              .setService(target.service())
              .setAddress(target.address().toString())
              .setDataCentre(target.dataCentre())
              .setSlots(target.slots())
              .setLeaving(target.leaving())
              .setWarmupMillis((int) target.warmupMillis())
              .setSequence(target.sequence()));
    }
    view.rules().ifPresent(rules -> note.setRules(RulesCodec.pack(rules)));
    view.evacuated()
        .ifPresent(
            dataCentres ->
                note.setEvacuations(EvacuationsNote.newBuilder().addAllDataCentres(dataCentres)));
    return note.build();
  }

  private static ViewUpdate toUpdate(ViewNote note) throws InvalidProtocolBufferException {
    Optional<RuleSet> rules =
        note.getRules().isEmpty()
            ? Optional.empty()
            : Optional.of(RulesCodec.unpack(note.getRules()));
    return new ViewUpdate(
        new StoreVersion(note.getEra(), note.getRevision()),
        note.getAgeMillis(),
        note.getDigest(),
        note.getRulesVersion(),
        note.getWhole(),
        note.getRegisteredList().stream().flatMap(target -> toTarget(target).stream()).toList(),
        note.getRemovedList(),
        rules,
        note.hasEvacuations()
            ? Optional.of(Set.copyOf(note.getEvacuations().getDataCentresList()))
            : Optional.empty());
  }

  /** Returns a target; empty without a usable address, which earlier releases pass on. */
  private static Optional<RegisteredTarget> toTarget(TargetNote note) {
    return TargetAddress.parse(note.getAddress())
        .map(
            address ->
                new RegisteredTarget(
                    note.getId(),
                    note.getStartedAtMillis(),
                    note.getService(),
                    address,
                    note.getDataCentre(),
                    note.getSlots(),
                    note.getLeaving(),
                    note.getWarmupMillis(),
                    note.getSequence()));
  }
}
