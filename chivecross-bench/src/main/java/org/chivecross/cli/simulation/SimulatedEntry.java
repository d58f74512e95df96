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
 * One process of an entry in virtual time: it ticks, can be paused and ended. Not thread-safe.
 *
 * <p>Invariant: a paused process does nothing; what arrives meanwhile waits for it.
 */
final class SimulatedEntry {

  /** What is the same for all processes of a run. */
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

  SimulatedEntry(Environment around, String address, String dataCentre, long seed) {
    this.environment = around;
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
            around.contacts(),
            4 * around.entryBound(),
            MembershipPreferences.standard(),
            ConfigPreferences.forBound(around.entryBound(), true));
    node =
        new PeerNode(
            preferences,
            around.check(),
            (to, message) -> around.network().send(sender, to, message),
            new SimulatedPlatformCalls(),
            random,
            this::recordInForce);
    node.serveAt(address);
    around.network().listen(address, this::receive);
    around.time().after(random.nextLong(around.tickNanos()), this::tick);
  }

  /** Platform calls whose answers wait while the process is paused. */
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
    boolean lower =
        !versionHistory.isEmpty()
            && !version.isNewerThan(versionHistory.get(versionHistory.size() - 1));
    boolean other = !set.deployment().name().equals(Long.toString(version.revision()));
    violations += lower || other ? 1 : 0;
    versionHistory.add(version);
  }

  private long now() {
    return environment.time().now();
  }
}
