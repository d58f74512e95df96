package org.chivecross.cli.entry.peer;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chivecross.logic.config.ConfigView;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.MemberState;
import org.chivecross.wire.PeerTraffic;

/** Agent of an entry without peers, whose file set comes from a directory. Thread-safe. */
public final class StandaloneAgent implements FleetAgent {

  private static final EntryFlags READY = new EntryFlags(false, true, false, false);

  private final ConfigView config;
  private final PeerTraffic traffic = new PeerTraffic();
  private final Instant since = Instant.now();
  private volatile EntryMember self;
  private volatile boolean isLeaving;

  /** Creates the agent of an entry that serves {@code set}. */
  public StandaloneAgent(long incarnation, String dataCentre, FileSet set) {
    self = new EntryMember(incarnation, "", "", dataCentre, 1, MemberState.ALIVE, READY);
    config =
        new ConfigView(
            ConfigVersion.NONE,
            Optional.of(set),
            System.nanoTime(),
            ConfigVersion.NONE,
            List.of(),
            ConfigVersion.NONE,
            List.of(),
            false,
            false,
            0,
            0,
            0);
  }

  @Override
  public Result<Integer> start() {
    return Result.success(0);
  }

  @Override
  public void advertiseCallerAddress(InetSocketAddress callerAddress) {
    EntryMember old = self;
    self =
        new EntryMember(
            old.incarnation(),
            "",
            callerAddress.getHostString() + ":" + callerAddress.getPort(),
            old.dataCentre(),
            1,
            MemberState.ALIVE,
            READY);
  }

  @Override
  public void tick(long nowNanos) {}

  @Override
  public void sendLeavingMarks(List<LeavingMark> marks, long nowNanos) {}

  @Override
  public NodeView view() {
    MemberView members = new MemberView(self, List.of(), true);
    return new NodeView(members, config, !isLeaving, isLeaving ? "nothing: this entry leaves" : "");
  }

  @Override
  public Optional<Instant> inForceSince() {
    return Optional.of(since);
  }

  @Override
  public OwnerCalls ownerCalls() {
    return (owner, call, remaining, done) ->
        done.accept(Result.failed(Step.CONNECT, "unknown owner", "this entry runs alone"));
  }

  @Override
  public PeerTraffic traffic() {
    return traffic;
  }

  @Override
  public void startLeaving() {
    isLeaving = true;
  }

  @Override
  public void stop() {}
}
