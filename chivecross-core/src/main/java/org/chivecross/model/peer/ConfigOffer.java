package org.chivecross.model.peer;

import org.chivecross.model.manifest.ConfigVersion;

/**
 * Configuration versions that an entry holds completely and can send to peers. Immutable.
 *
 * @param inForce version in force
 * @param newest highest version held, in force or rejected
 */
public record ConfigOffer(ConfigVersion inForce, ConfigVersion newest) {

  /** Offer of an entry that holds no version. */
  public static final ConfigOffer NOTHING = new ConfigOffer(ConfigVersion.NONE, ConfigVersion.NONE);
}
