package org.chivecross.logic.peer;

import org.chivecross.logic.config.ConfigView;
import org.chivecross.logic.membership.MemberView;

/**
 * Snapshot of the membership and the configuration as one entry sees them. Immutable and safe for
 * use by many threads.
 *
 * @param members the membership
 * @param config the configuration
 * @param ready whether this entry may serve callers
 * @param waitingFor what this entry waits for while it is not ready
 */
public record NodeView(MemberView members, ConfigView config, boolean ready, String waitingFor) {}
