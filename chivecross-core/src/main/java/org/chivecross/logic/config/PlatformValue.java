package org.chivecross.logic.config;

/**
 * A value as the platform gave it. Immutable; the content must not be changed.
 *
 * @param revision revision at which it was written
 * @param content the bytes
 */
public record PlatformValue(long revision, byte[] content) {}
