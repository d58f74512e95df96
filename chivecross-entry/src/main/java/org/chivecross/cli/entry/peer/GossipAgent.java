package org.chivecross.cli.entry.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.chivecross.cli.entry.platform.ListedVm;
import org.chivecross.cli.entry.platform.PlatformClient;
import org.chivecross.cli.entry.platform.PlatformEvents;
import org.chivecross.logic.config.ConfigPreferences;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.logic.fileset.FileSetParser;
import org.chivecross.logic.key.OwnedKeyHandler;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.membership.MembershipPreferences;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.logic.peer.PeerNode;
import org.chivecross.logic.peer.PeerNodePreferences;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.EntryFlags;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.LeavingMark;
import org.chivecross.model.peer.MemberState;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.wire.OwnerCallClient;
import org.chivecross.wire.PeerLink;
import org.chivecross.wire.PeerTraffic;
import org.chivecross.wire.PeerTransport;
import org.chivecross.wire.PeerTransportPreferences;
import org.tinylog.Logger;

/**
 * Agent of an entry that gossips with peers and reads its configuration from the platform: drives
 * the {@link PeerNode} with ticks and with events of the transport and the platform.
 *
 * <p>Invariant: the thread of {@link #tick} alone changes the node while the agent runs; events of
 * other threads are queued for it. All methods except {@link #tick} and {@link #sendLeavingMarks}
 * are thread-safe.
 */
public final class GossipAgent implements FleetAgent {

  private static final String NO_CALLER_ADDRESS = "0.0.0.0:0";
  private static final int MAX_QUEUED_EVENTS = 10_000;
  private static final int TABLE_ROWS_PER_ENTRY = 4;
  private static final int MIN_TABLE_ROWS = 64;
  private static final long VM_LIST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final Duration TLS_RELOAD_PERIOD = Duration.ofSeconds(10);

  private final PeerSettings settings;
  private final PeerTraffic traffic = new PeerTraffic();
  private final PeerTransport transport;
  private final OwnerCallClient ownerCalls;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(GossipAgent::daemonThread);
  private final Queue<Consumer<PeerNode>> events = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedEvents = new AtomicInteger();
  private final BiConsumer<ConfigVersion, FileSet> inForceListener;
  private final Consumer<List<ListedVm>> vmsListener;
  private final Consumer<List<LeavingMark>> leavingListener;
  private final long incarnation;
  private final PlatformClient platform;
  private volatile PeerNode node;
  private long nextVmListNanos;
  private volatile Optional<Instant> inForceSince = Optional.empty();

  /**
   * Creates an agent; {@link #start} starts it.
   *
   * @param incarnation random number that identifies this process
   * @param inForceListener receives each file set that comes into force, during {@link #tick}
   * @param vmsListener receives the platform's list of VMs, on a thread of the HTTP client
   * @param leavingListener receives leaving marks from other entries, during {@link #tick}
   * @param keys handles calls of other entries about keys of this incarnation
   */
  public GossipAgent(
      PeerSettings settings,
      long incarnation,
      BiConsumer<ConfigVersion, FileSet> inForceListener,
      Consumer<List<ListedVm>> vmsListener,
      Consumer<List<LeavingMark>> leavingListener,
      OwnedKeyHandler keys) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.inForceListener = inForceListener;
    this.vmsListener = vmsListener;
    this.leavingListener = leavingListener;
    transport =
        new PeerTransport(
            PeerTransportPreferences.standard(settings.peerListen(), settings.deployment()),
            settings.security(),
            incarnation,
            () -> view().members().self(),
            this::dispatchMessage,
            traffic);
    ownerCalls =
        new OwnerCallClient(incarnation, this::peerAddressUnlessDead, transport, timer, keys);
    platform =
        new PlatformClient(
            settings.platform().orElseThrow(), settings.deployment(), new QueuedEvents());
    node = node("");
  }

  @Override
  public Result<Integer> start() {
    Result<Integer> port = transport.start();
    if (port instanceof Result.Success<Integer> bound) {
      String host = settings.peerListen().getHostString();
      node = node(ifEmpty(settings.peerAdvertise(), host + ":" + bound.value()));
      timer.scheduleWithFixedDelay(
          this::reloadSecurity,
          TLS_RELOAD_PERIOD.toSeconds(),
          TLS_RELOAD_PERIOD.toSeconds(),
          TimeUnit.SECONDS);
    }
    return port;
  }

  @Override
  public void advertiseCallerAddress(InetSocketAddress callerAddress) {
    String address = callerAddress.getHostString() + ":" + callerAddress.getPort();
    enqueue(current -> current.advertiseCallerAddress(ifEmpty(settings.advertise(), address)));
  }

  @Override
  public void tick(long nowNanos) {
    for (Consumer<PeerNode> event = events.poll(); event != null; event = events.poll()) {
      queuedEvents.decrementAndGet();
      event.accept(node);
    }
    node.tick(nowNanos);
    if (nowNanos - nextVmListNanos >= 0 && view().config().isReader()) {
      nextVmListNanos = nowNanos + VM_LIST_PERIOD_NANOS;
      platform.readVms();
    }
  }

  @Override
  public void sendLeavingMarks(List<LeavingMark> marks, long nowNanos) {
    node.sendLeavingMarks(marks, nowNanos);
  }

  @Override
  public NodeView view() {
    return node.view();
  }

  /** Returns the random number that identifies this process. */
  public long incarnation() {
    return incarnation;
  }

  @Override
  public Optional<Instant> inForceSince() {
    return inForceSince;
  }

  @Override
  public OwnerCalls ownerCalls() {
    return ownerCalls;
  }

  @Override
  public PeerTraffic traffic() {
    return traffic;
  }

  @Override
  public void startLeaving() {
    enqueue(PeerNode::startLeaving);
  }

  @Override
  public void stop() {
    node.leave();
    timer.shutdownNow();
    transport.close();
  }

  private PeerNode node(String peerAddress) {
    EntryMember self =
        new EntryMember(
            incarnation,
            peerAddress,
            ifEmpty(settings.advertise(), NO_CALLER_ADDRESS),
            settings.dataCentre(),
            1,
            MemberState.ALIVE,
            EntryFlags.STARTING);
    FileSetParser parser = new FileSetParser();
    return new PeerNode(
        new PeerNodePreferences(
            self,
            settings.deployment(),
            settings.peers(),
            Math.max(MIN_TABLE_ROWS, TABLE_ROWS_PER_ENTRY * settings.entryBound()),
            MembershipPreferences.standard(),
            ConfigPreferences.forBound(settings.entryBound(), !settings.peers().isEmpty())),
        parser::parseBytes,
        transport,
        platform,
        new SplittableRandom(incarnation),
        this::recordVersionInForce);
  }

  private void recordVersionInForce(ConfigVersion version, FileSet set) {
    inForceSince = Optional.of(Instant.now());
    Logger.info("configuration version {} is in force", version);
    inForceListener.accept(version, set);
  }

  private void dispatchMessage(PeerLink link, PeerMessage.Sender sender, PeerMessage message) {
    if (message instanceof PeerMessage.KeyRequest || message instanceof PeerMessage.KeyResponse) {
      ownerCalls.receive(link, message);
    } else if (message instanceof PeerMessage.LeavingMarks leaving) {
      enqueue(unused -> leavingListener.accept(leaving.marks()));
    } else {
      enqueue(current -> current.receive(sender, message, System.nanoTime()));
    }
  }

  private void enqueue(Consumer<PeerNode> event) {
    if (queuedEvents.incrementAndGet() > MAX_QUEUED_EVENTS) {
      queuedEvents.decrementAndGet();
      return;
    }
    events.add(event);
  }

  private Optional<String> peerAddressUnlessDead(long memberIncarnation) {
    return view()
        .members()
        .find(memberIncarnation)
        .filter(member -> member.state() != MemberState.DEAD)
        .map(EntryMember::peerAddress);
  }

  private void reloadSecurity() {
    Result<Boolean> reloaded = settings.security().reload();
    if (reloaded instanceof Result.Failed<Boolean> failed) {
      Failure failure = failed.failures().get(0);
      Logger.warn("{}: {}", failure.step(), failure.detail());
    } else if (((Result.Success<Boolean>) reloaded).value()) {
      Logger.info("TLS files of the peer port changed and were reloaded");
    }
  }

  private static String ifEmpty(String text, String fallback) {
    return text.isEmpty() ? fallback : text;
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "peer-timer");
    thread.setDaemon(true);
    return thread;
  }

  /** Queues answers of the platform for the next tick. */
  private final class QueuedEvents implements PlatformEvents {
    @Override
    public void manifestRead(boolean isWatch, Result<PlatformValue> result) {
      enqueue(current -> current.manifestRead(isWatch, result, System.nanoTime()));
    }

    @Override
    public void fileRead(String digest, Result<byte[]> result) {
      enqueue(current -> current.fileRead(digest, result, System.nanoTime()));
    }

    @Override
    public void vmsRead(List<ListedVm> vms) {
      List<String> addresses = new ArrayList<>();
      for (ListedVm vm : vms) {
        if (!vm.peerAddress().isEmpty() && !vm.leaving()) {
          addresses.add(vm.peerAddress());
        }
      }
      enqueue(current -> current.addContacts(addresses));
      vmsListener.accept(vms);
    }
  }
}
