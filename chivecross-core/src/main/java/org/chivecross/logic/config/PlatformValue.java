package org.chivecross.logic.config;

/**
 * A value read from the platform. Immutable; the content must not be changed.
 *
 * @param revision revision at which it was written
 * @param content bytes of the value
 */
public record PlatformValue(long revision, byte[] content) {}
