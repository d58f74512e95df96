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
 * Learns of file sets from the platform and from other entries, fetches them, checks them and
 * passes them on.
 *
 * <p>Invariant: a set is put in force only when it is whole, has passed the check and has a higher
 * version than the one in force. Not thread-safe; the tick thread calls all methods.
 */
public final class ConfigSystem {

  private static final String PLATFORM = "platform";
  private static final int MAX_REQUESTS = 8;
  private static final long STALL_NANOS = 4_000_000_000L;

  /** Time for which a new process that knows nobody does not count itself as a reader. */
  private static final long SEEK_NANOS = 5_000_000_000L;

  private static final long PEERS_FIRST_NANOS = 500_000_000L;
  private static final long DEFER_NANOS = 2_000_000_000L;

  /** A request on its way: when it was sent and where to. */
  private record Request(long sentNanos, String source) {}

  private final ConfigPreferences preferences;
  private final String deployment;
  private final FileSetCheck check;
  private final PeerOutbox outbox;
  private final PlatformCalls platform;
  private final RandomGenerator random;
  private final Supplier<List<EntryMember>> newsReceivers;
  private final BiConsumer<ConfigVersion, FileSet> inForceListener;
  private final ManifestCodec codec = new ManifestCodec();
  private final ConfigStore store = new ConfigStore();
  private final PeerOffers offers = new PeerOffers();
  private final CallBudget budget;
  private final PlatformReads reads;
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<ConfigVersion, Long> deferredUntil = new HashMap<>();
  private final Map<String, byte[]> fetched = new HashMap<>();
  private final Set<String> failedSources = new HashSet<>();
  private ConfigVersion platformVersion = ConfigVersion.NONE;
  private byte @Nullable [] platformManifest;
  private @Nullable SetFetch fetch;
  private @Nullable MemberView readersOf;
  private boolean chosen;
  private boolean reader;
  private boolean started;
  private long startNanos;
  private long progressNanos;
  private long fetchStartNanos;
  private long inForceSinceNanos;
  private long staleReads;
  private List<Failure> failures = List.of();

  /**
   * Creates the system.
   *
   * @param newsReceivers entries that new versions are announced to
   * @param inForceListener told of each set that is put in force
   */
  public ConfigSystem(
      ConfigPreferences preferences,
      String deployment,
      FileSetCheck check,
      PeerOutbox outbox,
      PlatformCalls platform,
      RandomGenerator random,
      Supplier<List<EntryMember>> newsReceivers,
      BiConsumer<ConfigVersion, FileSet> inForceListener) {
    this.preferences = preferences;
    this.deployment = deployment;
    this.check = check;
    this.outbox = outbox;
    this.platform = platform;
    this.random = random;
    this.newsReceivers = newsReceivers;
    this.inForceListener = inForceListener;
    budget = new CallBudget(preferences.callsPerSecond(), preferences.callBurst());
    reads = new PlatformReads(preferences, platform, random, budget);
  }

  /** Runs everything that is due. */
  public void tick(MemberView members, long nowNanos) {
    if (!started) {
      started = true;
      startNanos = nowNanos;
    }
    if (readersOf != members) {
      readersOf = members;
      chosen = ReaderChoice.isReader(members, preferences.readers());
    }
    boolean seeking = nowNanos - startNanos < Math.min(SEEK_NANOS, preferences.noPeerWaitNanos());
    reader = chosen && !(seeking && members.others().isEmpty());
    reads.tick(reader, platformVersion.revision(), nowNanos);
    expireRequests(nowNanos);
    chooseFetch(nowNanos);
    continueFetch(nowNanos);
  }

  /** Takes in a message of another entry; messages of other systems are ignored. */
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

  /** The platform answered a read or a watch of the manifest, or it failed. */
  public void manifestRead(boolean watch, Result<PlatformValue> result, long nowNanos) {
    if (result instanceof Result.Failed<PlatformValue> failed) {
      failures = failed.failures();
      reads.failed(watch, nowNanos);
      return;
    }
    reads.answered(watch, nowNanos);
    PlatformValue value = ((Result.Success<PlatformValue>) result).value();
    // An unreadable manifest has no epoch; it is held as rejected under the newest epoch.
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

  /** The platform answered a read of a file, or it failed. */
  public void fileRead(String digest, Result<byte[]> result, long nowNanos) {
    requests.remove(digest);
    if (result instanceof Result.Failed<byte[]> failed) {
      failures = failed.failures();
      return;
    }
    takeFile(digest, ((Result.Success<byte[]>) result).value(), PLATFORM, nowNanos);
  }

  /** Returns the versions that this entry can serve. */
  public ConfigOffer offer() {
    return store.offer();
  }

  /** Returns whether a version is neither held nor known to be refused here. */
  boolean wants(ConfigVersion version) {
    return store.wants(version);
  }

  /** Returns the offers that peers made. */
  PeerOffers peerOffers() {
    return offers;
  }

  /** Returns whether the latest direct read of the platform succeeded. */
  public boolean isPlatformReachable() {
    return reads.isReachable();
  }

  /** Returns what this entry holds now. */
  public ConfigView view() {
    return new ConfigView(
        store.inForceVersion(),
        store.fileSet(),
        inForceSinceNanos,
        store.newestVersion(),
        store.rejection(),
        fetch == null ? ConfigVersion.NONE : fetch.version(),
        failures,
        reads.isReader(),
        reads.isReachable(),
        staleReads,
        reads.silentWatches(),
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
      best = better(version, best);
    }
    best = better(platformVersion, best);
    boolean current = fetch != null && !best.isNewerThan(fetch.version());
    if (best.equals(ConfigVersion.NONE) || current) {
      return;
    }
    abandonFetch();
    fetch = new SetFetch(best, deployment, known());
    progressNanos = nowNanos;
    fetchStartNanos = nowNanos;
    if (best.equals(platformVersion) && platformManifest != null) {
      fetch.manifest(platformManifest, PLATFORM, codec);
    }
  }

  private ConfigVersion better(ConfigVersion version, ConfigVersion best) {
    boolean candidate =
        version.isNewerThan(best) && store.wants(version) && !deferredUntil.containsKey(version);
    return candidate ? version : best;
  }

  private Map<String, byte[]> known() {
    Map<String, byte[]> known = store.contents();
    known.putAll(fetched);
    return known;
  }

  private void abandonFetch() {
    if (fetch != null) {
      fetched.putAll(fetch.contents());
    }
    fetch = null;
    requests.clear();
  }

  private void continueFetch(long nowNanos) {
    if (fetch == null) {
      return;
    }
    Optional<HeldSet> whole = fetch.finish(check);
    if (whole.isPresent()) {
      adopt(whole.get(), nowNanos);
      return;
    }
    if (nowNanos - progressNanos > STALL_NANOS) {
      deferredUntil.put(fetch.version(), nowNanos + DEFER_NANOS);
      abandonFetch();
      return;
    }
    if (fetch.needsManifest()) {
      requestFromPeer("", nowNanos);
      return;
    }
    for (ManifestFile file : fetch.missing().values()) {
      if (requests.size() >= MAX_REQUESTS) {
        return;
      }
      request(file, nowNanos);
    }
  }

  private void request(ManifestFile file, long nowNanos) {
    if (requests.containsKey(file.sha256()) || requestFromPeer(file.sha256(), nowNanos)) {
      return;
    }
    // A reader fetches at once; the others give it time to offer the set to them.
    boolean early = !reader && nowNanos - fetchStartNanos < PEERS_FIRST_NANOS;
    if (!early && budget.tryTake(nowNanos)) {
      requests.put(file.sha256(), new Request(nowNanos, PLATFORM));
      platform.readFile(file.key(), file.sha256());
    }
  }

  private boolean requestFromPeer(String digest, long nowNanos) {
    SetFetch current = fetch;
    if (current == null || requests.containsKey(digest)) {
      return true;
    }
    Optional<String> source = offers.source(current.version(), random);
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
      fetch.manifest(content.content(), sender.peerAddress(), codec);
      progressNanos = nowNanos;
      continueFetch(nowNanos);
      return;
    }
    takeFile(content.digest(), content.content(), sender.peerAddress(), nowNanos);
  }

  private void takeFile(String digest, byte[] content, String source, long nowNanos) {
    if (fetch == null) {
      return;
    }
    if (!fetch.file(digest, content)) {
      failures = List.of(new Failure(Step.PLATFORM_READ, source, "wrong digest of file " + digest));
      offers.drop(source);
      return;
    }
    progressNanos = nowNanos;
    continueFetch(nowNanos);
  }

  private void adopt(HeldSet set, long nowNanos) {
    fetch = null;
    requests.clear();
    fetched.clear();
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
    for (EntryMember receiver : newsReceivers.get()) {
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
