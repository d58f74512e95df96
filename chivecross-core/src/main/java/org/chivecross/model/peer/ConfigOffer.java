package org.chivecross.model.peer;

import org.chivecross.model.manifest.ConfigVersion;

/**
 * Versions that an entry holds whole and can serve. Immutable.
 *
 * @param inForce version in force
 * @param newest highest version held, in force or rejected
 */
public record ConfigOffer(ConfigVersion inForce, ConfigVersion newest) {

  /** Offer of an entry that holds nothing. */
  public static final ConfigOffer NOTHING = new ConfigOffer(ConfigVersion.NONE, ConfigVersion.NONE);
}
