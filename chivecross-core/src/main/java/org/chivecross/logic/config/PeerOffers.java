package org.chivecross.logic.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivecross.model.manifest.ConfigVersion;
import org.chivecross.model.peer.ConfigOffer;
import org.chivecross.model.peer.PeerMessage.Sender;

/**
 * What other entries offered since this process started. Not thread-safe; the tick thread owns it.
 *
 * <p>Invariant: the latest offer of each incarnation counts; the oldest ones are dropped beyond
 * {@link #MAX_OFFERS}.
 */
final class PeerOffers {

  private static final int MAX_OFFERS = 64;

  /** An offer and the address that it came from. */
  private record KnownOffer(String address, ConfigOffer offer) {}

  private final Map<Long, KnownOffer> offers = new LinkedHashMap<>();
  private ConfigVersion highestInForce = ConfigVersion.NONE;

  void put(Sender sender, ConfigOffer offer) {
    offers.remove(sender.incarnation());
    offers.put(sender.incarnation(), new KnownOffer(sender.peerAddress(), offer));
    if (offer.inForce().isNewerThan(highestInForce)) {
      highestInForce = offer.inForce();
    }
    if (offers.size() > MAX_OFFERS) {
      offers.remove(offers.keySet().iterator().next());
    }
  }

  /** Forgets offers of an address that did not deliver. */
  void drop(String address) {
    offers.values().removeIf(known -> known.address().equals(address));
  }

  /** Returns an address that offers a version. */
  Optional<String> source(ConfigVersion version, RandomGenerator random) {
    List<String> sources = new ArrayList<>();
    for (KnownOffer known : offers.values()) {
      ConfigOffer offer = known.offer();
      if (offer.inForce().equals(version) || offer.newest().equals(version)) {
        sources.add(known.address());
      }
    }
    return sources.isEmpty()
        ? Optional.empty()
        : Optional.of(sources.get(random.nextInt(sources.size())));
  }

  /** Returns all versions on offer. */
  List<ConfigVersion> versions() {
    List<ConfigVersion> versions = new ArrayList<>();
    for (KnownOffer known : offers.values()) {
      versions.add(known.offer().inForce());
      versions.add(known.offer().newest());
    }
    return versions;
  }

  /** Returns the highest version that any peer ever said to have in force. */
  ConfigVersion highestInForce() {
    return highestInForce;
  }

  /** Returns whether a peer was heard. */
  boolean heard(long incarnation) {
    return offers.containsKey(incarnation);
  }

  int heardCount() {
    return offers.size();
  }
}
