package org.chivecross.logic.peer;

import org.chivecross.logic.config.ConfigView;
import org.chivecross.logic.membership.MemberView;

/**
 * What one entry knows of all entries and of the configuration. Immutable and safe for use by many
 * threads.
 *
 * @param members the entries
 * @param config the configuration
 * @param ready whether this entry may serve callers
 * @param waitingFor what it waits for while it is not ready
 */
public record NodeView(MemberView members, ConfigView config, boolean ready, String waitingFor) {}
