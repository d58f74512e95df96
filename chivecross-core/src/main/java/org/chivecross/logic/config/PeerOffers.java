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
 * Configuration versions that other entries have offered since this process started. Not
 * thread-safe; the tick thread owns it.
 *
 * <p>Invariant: holds only the latest offer of each incarnation; beyond {@link #MAX_OFFERS} the
 * oldest offer is dropped.
 */
final class PeerOffers {

  private static final int MAX_OFFERS = 64;

  /** An offer with the peer address of its sender. */
  private record ReceivedOffer(String address, ConfigOffer offer) {}

  private final Map<Long, ReceivedOffer> offers = new LinkedHashMap<>();
  private ConfigVersion highestInForce = ConfigVersion.NONE;

  void put(Sender sender, ConfigOffer offer) {
    offers.remove(sender.incarnation());
    offers.put(sender.incarnation(), new ReceivedOffer(sender.peerAddress(), offer));
    if (offer.inForce().isNewerThan(highestInForce)) {
      highestInForce = offer.inForce();
    }
    if (offers.size() > MAX_OFFERS) {
      offers.remove(offers.keySet().iterator().next());
    }
  }

  /** Removes the offers of an address that did not send the requested content. */
  void drop(String address) {
    offers.values().removeIf(received -> received.address().equals(address));
  }

  /** Returns a random address among those that offer a version. */
  Optional<String> randomSource(ConfigVersion version, RandomGenerator random) {
    List<String> sources = new ArrayList<>();
    for (ReceivedOffer received : offers.values()) {
      ConfigOffer offer = received.offer();
      if (offer.inForce().equals(version) || offer.newest().equals(version)) {
        sources.add(received.address());
      }
    }
    return sources.isEmpty()
        ? Optional.empty()
        : Optional.of(sources.get(random.nextInt(sources.size())));
  }

  /** Returns all offered versions. */
  List<ConfigVersion> versions() {
    List<ConfigVersion> versions = new ArrayList<>();
    for (ReceivedOffer received : offers.values()) {
      versions.add(received.offer().inForce());
      versions.add(received.offer().newest());
    }
    return versions;
  }

  /**
   * Returns the highest version in force that any peer has advertised since this process started.
   */
  ConfigVersion highestInForce() {
    return highestInForce;
  }

  /** Returns whether an offer of a peer is present. */
  boolean hasOfferFrom(long incarnation) {
    return offers.containsKey(incarnation);
  }

  int offerCount() {
    return offers.size();
  }
}
