package org.chivecross.cli.entry.admin;

/**
 * State of an idempotency key at this entry. Immutable.
 *
 * @param key the key
 * @param state one of never-run, in-flight, finished, fenced, outside-window, foreign, malformed
 * @param status HTTP status of the first answer; 0 when no upstream answered
 * @param outcome outcome of the request; empty when an upstream answered or it is not finished
 * @param owner incarnation of the entry that owns a foreign key, in hexadecimal; otherwise empty
 */
public record KeyStatus(String key, String state, int status, String outcome, String owner) {}
