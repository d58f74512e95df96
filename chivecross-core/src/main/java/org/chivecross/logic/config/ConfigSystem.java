package org.chivecross.logic.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.logic.membership.MemberView;
import org.chivecross.logic.peer.PeerOutbox;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.EntryMember;
import org.chivecross.model.peer.PeerMessage;
import org.chivecross.model.peer.PeerMessage.Sender;
import org.jspecify.annotations.Nullable;

/**
 * Replicates the configuration: discovers new file sets on the platform and at other entries,
 * fetches and checks them, puts valid ones in force and announces them to other entries.
 *
 * <p>Invariant: a set is put in force only when it is complete, has passed the check and has a
 * higher version than the one in force. Not thread-safe; the tick thread calls all methods.
 */
public final class ConfigSystem {

  private static final String PLATFORM = "platform";
  private static final int MAX_OPEN_REQUESTS = 8;
  private static final long FETCH_STALL_TIMEOUT_NANOS = 4_000_000_000L;

  /** Time after the start in which an entry without known peers does not act as a reader. */
  private static final long PEER_DISCOVERY_NANOS = 5_000_000_000L;

  private static final long PEERS_ONLY_NANOS = 500_000_000L;
  private static final long STALLED_VERSION_DEFER_NANOS = 2_000_000_000L;

  /** An outstanding request: when it was sent, and the platform or the peer address it went to. */
  private record Request(long sentNanos, String source) {}

  private final ConfigPreferences preferences;
  private final String deployment;
  private final FileSetCheck check;
  private final PeerOutbox outbox;
  private final PlatformCalls platform;
  private final RandomGenerator random;
  private final Supplier<List<EntryMember>> gossipReceivers;
  private final BiConsumer<ConfigVersion, FileSet> inForceListener;
  private final ManifestCodec codec = new ManifestCodec();
  private final ConfigStore store = new ConfigStore();
  private final PeerOffers offers = new PeerOffers();
  private final CallBudget budget;
  private final PlatformReadScheduler platformReads;
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<ConfigVersion, Long> deferredUntil = new HashMap<>();
  private final Map<String, byte[]> contentsOfAbandonedFetches = new HashMap<>();
  private final Set<String> failedSources = new HashSet<>();
  private ConfigVersion platformVersion = ConfigVersion.NONE;
  private byte @Nullable [] platformManifest;
  private @Nullable FileSetFetch fetch;
  private @Nullable MemberView readerSelectionView;
  private boolean selectedAsReader;
  private boolean reader;
  private boolean started;
  private long startNanos;
  private long lastProgressNanos;
  private long fetchStartNanos;
  private long inForceSinceNanos;
  private long staleReads;
  private List<Failure> failures = List.of();

  /**
   * Creates the system.
   *
   * @param gossipReceivers supplies the entries that new versions are announced to
   * @param inForceListener receives each set that is put in force
   */
  public ConfigSystem(
      ConfigPreferences preferences,
      String deployment,
      FileSetCheck check,
      PeerOutbox outbox,
      PlatformCalls platform,
      RandomGenerator random,
      Supplier<List<EntryMember>> gossipReceivers,
      BiConsumer<ConfigVersion, FileSet> inForceListener) {
    this.preferences = preferences;
    this.deployment = deployment;
    this.check = check;
    this.outbox = outbox;
    this.platform = platform;
    this.random = random;
    this.gossipReceivers = gossipReceivers;
    this.inForceListener = inForceListener;
    budget = new CallBudget(preferences.callsPerSecond(), preferences.callBurst());
    platformReads = new PlatformReadScheduler(preferences, platform, random, budget);
  }

  /** Runs the timers that have expired and continues the current fetch. */
  public void tick(MemberView members, long nowNanos) {
    if (!started) {
      started = true;
      startNanos = nowNanos;
    }
    if (readerSelectionView != members) {
      readerSelectionView = members;
      selectedAsReader = ReaderSelection.isReader(members, preferences.readers());
    }
    boolean discoveringPeers =
        nowNanos - startNanos < Math.min(PEER_DISCOVERY_NANOS, preferences.noPeerWaitNanos());
    reader = selectedAsReader && !(discoveringPeers && members.others().isEmpty());
    platformReads.tick(reader, platformVersion.revision(), nowNanos);
    expireRequests(nowNanos);
    chooseFetch(nowNanos);
    continueFetch(nowNanos);
  }

  /** Handles a message from another entry; ignores messages of other systems. */
  public void receive(Sender sender, PeerMessage message, long nowNanos) {
    if (message instanceof PeerMessage.Ping ping) {
      offers.put(sender, ping.offer());
    } else if (message instanceof PeerMessage.Ack ack && ack.subject() == sender.incarnation()) {
      offers.put(sender, ack.offer());
    } else if (message instanceof PeerMessage.SyncResponse response) {
      offers.put(sender, response.offer());
    } else if (message instanceof PeerMessage.Offer offer) {
      offers.put(sender, offer.offer());
    } else if (message instanceof PeerMessage.ConfigRequest request) {
      serve(sender, request);
    } else if (message instanceof PeerMessage.ConfigContent content) {
      receiveContent(sender, content, nowNanos);
    }
  }

  /** Handles the result of a read or a watch of the manifest on the platform. */
  public void manifestRead(boolean isWatch, Result<PlatformValue> result, long nowNanos) {
    if (result instanceof Result.Failed<PlatformValue> failed) {
      failures = failed.failures();
      platformReads.failed(isWatch, nowNanos);
      return;
    }
    platformReads.answered(isWatch, nowNanos);
    PlatformValue value = ((Result.Success<PlatformValue>) result).value();
    // An unreadable manifest has no epoch, so it is stored as rejected with the newest epoch.
    long epoch =
        codec.read(value.content(), PLATFORM) instanceof Result.Success<Manifest> readable
            ? readable.value().epoch()
            : store.newestVersion().epoch();
    ConfigVersion version = new ConfigVersion(epoch, value.revision());
    if (store.newestVersion().isNewerThan(version)) {
      staleReads++;
    }
    if (version.isNewerThan(platformVersion)) {
      platformVersion = version;
      platformManifest = value.content();
    }
  }

  /** Handles the result of a read of a file on the platform. */
  public void fileRead(String digest, Result<byte[]> result, long nowNanos) {
    requests.remove(digest);
    if (result instanceof Result.Failed<byte[]> failed) {
      failures = failed.failures();
      return;
    }
    receiveFile(digest, ((Result.Success<byte[]>) result).value(), PLATFORM, nowNanos);
  }

  /** Returns the versions that this entry can send to peers. */
  public ConfigOffer offer() {
    return store.offer();
  }

  /** Returns whether storing a version could change the version in force or the newest version. */
  boolean isUseful(ConfigVersion version) {
    return store.isUseful(version);
  }

  /** Returns the offers received from peers. */
  PeerOffers peerOffers() {
    return offers;
  }

  /** Returns whether the latest direct read of the platform succeeded. */
  public boolean isPlatformReachable() {
    return platformReads.isReachable();
  }

  /** Returns a snapshot of the configuration at this entry. */
  public ConfigView view() {
    return new ConfigView(
        store.inForceVersion(),
        store.fileSet(),
        inForceSinceNanos,
        store.newestVersion(),
        store.newestRejection(),
        fetch == null ? ConfigVersion.NONE : fetch.version(),
        failures,
        platformReads.isReader(),
        platformReads.isReachable(),
        staleReads,
        platformReads.silentWatches(),
        budget.taken());
  }

  private void serve(Sender sender, PeerMessage.ConfigRequest request) {
    Optional<byte[]> content = store.content(request.version(), request.digest());
    outbox.send(
        sender.peerAddress(),
        new PeerMessage.ConfigContent(
            request.version(), request.digest(), content.isPresent(), content.orElse(new byte[0])));
  }

  private void chooseFetch(long nowNanos) {
    deferredUntil.values().removeIf(until -> nowNanos >= until);
    ConfigVersion best = ConfigVersion.NONE;
    for (ConfigVersion version : offers.versions()) {
      best = newerCandidate(version, best);
    }
    best = newerCandidate(platformVersion, best);
    boolean current = fetch != null && !best.isNewerThan(fetch.version());
    if (best.equals(ConfigVersion.NONE) || current) {
      return;
    }
    abandonFetch();
    fetch = new FileSetFetch(best, deployment, availableContents());
    lastProgressNanos = nowNanos;
    fetchStartNanos = nowNanos;
    if (best.equals(platformVersion) && platformManifest != null) {
      fetch.receiveManifest(platformManifest, PLATFORM, codec);
    }
  }

  private ConfigVersion newerCandidate(ConfigVersion version, ConfigVersion best) {
    boolean isCandidate =
        version.isNewerThan(best) && store.isUseful(version) && !deferredUntil.containsKey(version);
    return isCandidate ? version : best;
  }

  private Map<String, byte[]> availableContents() {
    Map<String, byte[]> contents = store.contents();
    contents.putAll(contentsOfAbandonedFetches);
    return contents;
  }

  private void abandonFetch() {
    if (fetch != null) {
      contentsOfAbandonedFetches.putAll(fetch.contents());
    }
    fetch = null;
    requests.clear();
  }

  private void continueFetch(long nowNanos) {
    if (fetch == null) {
      return;
    }
    Optional<StoredFileSet> completeSet = fetch.checkWhenComplete(check);
    if (completeSet.isPresent()) {
      adopt(completeSet.get(), nowNanos);
      return;
    }
    if (nowNanos - lastProgressNanos > FETCH_STALL_TIMEOUT_NANOS) {
      deferredUntil.put(fetch.version(), nowNanos + STALLED_VERSION_DEFER_NANOS);
      abandonFetch();
      return;
    }
    if (fetch.needsManifest()) {
      requestFromPeer("", nowNanos);
      return;
    }
    for (ManifestFile file : fetch.missing().values()) {
      if (requests.size() >= MAX_OPEN_REQUESTS) {
        return;
      }
      request(file, nowNanos);
    }
  }

  private void request(ManifestFile file, long nowNanos) {
    if (requests.containsKey(file.sha256()) || requestFromPeer(file.sha256(), nowNanos)) {
      return;
    }
    // A reader fetches from the platform at once; other entries first give a reader the time to
    // offer the set to them.
    boolean waitForPeers = !reader && nowNanos - fetchStartNanos < PEERS_ONLY_NANOS;
    if (!waitForPeers && budget.tryTake(nowNanos)) {
      requests.put(file.sha256(), new Request(nowNanos, PLATFORM));
      platform.readFile(file.key(), file.sha256());
    }
  }

  private boolean requestFromPeer(String digest, long nowNanos) {
    FileSetFetch current = fetch;
    if (current == null || requests.containsKey(digest)) {
      return true;
    }
    Optional<String> source = offers.randomSource(current.version(), random);
    source.ifPresent(
        address -> {
          requests.put(digest, new Request(nowNanos, address));
          outbox.send(address, new PeerMessage.ConfigRequest(current.version(), digest));
        });
    return source.isPresent();
  }

  private void receiveContent(Sender sender, PeerMessage.ConfigContent content, long nowNanos) {
    boolean expected =
        fetch != null
            && fetch.version().equals(content.version())
            && requests.remove(content.digest()) != null;
    if (!expected || fetch == null) {
      return;
    }
    if (!content.found()) {
      offers.drop(sender.peerAddress());
      return;
    }
    if (content.digest().isEmpty()) {
      fetch.receiveManifest(content.content(), sender.peerAddress(), codec);
      lastProgressNanos = nowNanos;
      continueFetch(nowNanos);
      return;
    }
    receiveFile(content.digest(), content.content(), sender.peerAddress(), nowNanos);
  }

  private void receiveFile(String digest, byte[] content, String source, long nowNanos) {
    if (fetch == null) {
      return;
    }
    if (!fetch.receiveFile(digest, content)) {
      failures = List.of(new Failure(Step.PLATFORM_READ, source, "wrong digest of file " + digest));
      offers.drop(source);
      return;
    }
    lastProgressNanos = nowNanos;
    continueFetch(nowNanos);
  }

  private void adopt(StoredFileSet set, long nowNanos) {
    fetch = null;
    requests.clear();
    contentsOfAbandonedFetches.clear();
    ConfigOffer before = store.offer();
    Optional<FileSet> accepted = store.adopt(set);
    if (accepted.isPresent()) {
      inForceSinceNanos = nowNanos;
      inForceListener.accept(set.version(), accepted.get());
    }
    if (store.offer().equals(before)) {
      return;
    }
    failures = List.of();
    for (EntryMember receiver : gossipReceivers.get()) {
      outbox.send(receiver.peerAddress(), new PeerMessage.Offer(store.offer()));
    }
  }

  private void expireRequests(long nowNanos) {
    Iterator<Request> waiting = requests.values().iterator();
    failedSources.clear();
    while (waiting.hasNext()) {
      Request request = waiting.next();
      long limit = preferences.requestTimeoutNanos();
      if (nowNanos - request.sentNanos() > limit) {
        waiting.remove();
        failedSources.add(request.source());
      }
    }
    failedSources.forEach(offers::drop);
  }
}
