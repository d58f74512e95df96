package org.chivecross.cli.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.config.ConfigPreferences;
import org.chivecross.logic.config.PlatformCalls;
import org.chivecross.logic.membership.MembershipPreferences;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.logic.peer.PeerNode;
import org.chivecross.logic.peer.PeerNodePreferences;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * An entry process in virtual time that ticks periodically and can be paused and killed. Not
 * thread-safe.
 *
 * <p>Invariant: a paused process runs nothing; messages and platform answers that arrive in the
 * pause are handled when it ends.
 */
final class SimulatedEntry {

  /** Clock, network, platform and settings that all processes of a run share. */
  record Environment(
      VirtualTime time,
      FakeNetwork network,
      FakePlatform platform,
      SimulatedCheck check,
      long tickNanos,
      int entryBound,
      List<String> contacts) {}

  private final Environment environment;
  private final EntryMember self;
  private final Sender sender;
  private final PeerNode node;
  private final List<Runnable> delayedActions = new ArrayList<>();
  private final List<ConfigVersion> versionHistory = new ArrayList<>();
  private boolean running = true;
  private boolean paused;
  private int violations;

  SimulatedEntry(Environment environment, String address, String dataCentre, long seed) {
    this.environment = environment;
    SplittableRandom random = new SplittableRandom(seed);
    self =
        new EntryMember(
            random.nextLong(),
            address,
            address,
            dataCentre,
            1,
            MemberState.ALIVE,
            EntryFlags.STARTING);
    sender = new Sender(self.incarnation(), address);
    PeerNodePreferences preferences =
        new PeerNodePreferences(
            self,
            FakePlatform.DEPLOYMENT,
            environment.contacts(),
            4 * environment.entryBound(),
            MembershipPreferences.standard(),
            ConfigPreferences.forBound(environment.entryBound(), true));
    node =
        new PeerNode(
            preferences,
            environment.check(),
            (to, message) -> environment.network().send(sender, to, message),
            new SimulatedPlatformCalls(),
            random,
            this::recordInForce);
    node.advertiseCallerAddress(address);
    environment.network().listen(address, this::receive);
    environment.time().after(random.nextLong(environment.tickNanos()), this::tick);
  }

  /** Calls to the simulated platform; answers are delayed while the process is paused. */
  private final class SimulatedPlatformCalls implements PlatformCalls {
    @Override
    public void readManifest() {
      environment
          .platform()
          .readManifest(self.peerAddress(), r -> run(() -> node.manifestRead(false, r, now())));
    }

    @Override
    public void watchManifest(long revision, long waitMillis) {
      environment
          .platform()
          .watchManifest(
              self.peerAddress(),
              revision,
              TimeUnit.MILLISECONDS.toNanos(waitMillis),
              r -> run(() -> node.manifestRead(true, r, now())));
    }

    @Override
    public void readFile(String key, String digest) {
      environment
          .platform()
          .readFile(self.peerAddress(), key, r -> run(() -> node.fileRead(digest, r, now())));
    }
  }

  EntryMember self() {
    return self;
  }

  NodeView view() {
    return node.view();
  }

  PeerNode node() {
    return node;
  }

  /** Returns the versions put in force, in order. */
  List<ConfigVersion> versionHistory() {
    return versionHistory;
  }

  /** Returns how often an older version or a mixed set was put in force. */
  int violations() {
    return violations;
  }

  boolean isRunning() {
    return running;
  }

  void pause(long nanos) {
    if (paused || !running) {
      return;
    }
    paused = true;
    environment.time().after(nanos, this::resume);
  }

  void kill() {
    running = false;
    environment.network().close(self.peerAddress());
  }

  private void resume() {
    paused = false;
    List<Runnable> waiting = new ArrayList<>(delayedActions);
    delayedActions.clear();
    waiting.forEach(this::run);
  }

  private void receive(Sender from, PeerMessage message) {
    run(() -> node.receive(from, message, now()));
  }

  private void run(Runnable action) {
    if (paused) {
      delayedActions.add(action);
    } else if (running) {
      action.run();
    }
  }

  private void tick() {
    if (!running) {
      return;
    }
    if (!paused) {
      node.tick(now());
    }
    environment.time().after(environment.tickNanos(), this::tick);
  }

  private void recordInForce(ConfigVersion version, FileSet set) {
    boolean isNotNewer =
        !versionHistory.isEmpty()
            && !version.isNewerThan(versionHistory.get(versionHistory.size() - 1));
    boolean isOtherRevision = !set.deployment().name().equals(Long.toString(version.revision()));
    violations += isNotNewer || isOtherRevision ? 1 : 0;
    versionHistory.add(version);
  }

  private long now() {
    return environment.time().now();
  }
}
