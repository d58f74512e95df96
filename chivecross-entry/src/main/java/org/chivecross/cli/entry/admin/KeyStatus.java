package org.chivecross.cli.entry.admin;

/**
 * What this entry knows of an idempotency key. Immutable.
 *
 * @param key the key
 * @param state one of never-run, in-flight, finished, fenced, outside-window, foreign, malformed
 * @param status HTTP status of the first answer; 0 when no upstream answered
 * @param outcome what became of it; empty when an upstream answered or it is not finished
 * @param owner incarnation of the entry that owns the key, in hexadecimal; empty for this entry
 */
public record KeyStatus(String key, String state, int status, String outcome, String owner) {}
