package org.chivecross.cli.entry.admin;

/**
 * A recent decision of this entry of interest to operators. Immutable.
 *
 * @param at UTC time in ISO 8601
 * @param method HTTP method
 * @param host host name
 * @param path path without query, truncated when it is long
 * @param action answer, abort, resend or pass-to-owner
 * @param status HTTP status of an answer; 0 for other actions
 * @param outcome outcome sent to the caller; empty without an answer
 * @param step step of the cause
 * @param peer peer of the cause; for a resend the address of its target
 * @param detail cause in one line
 */
public record DecisionStatus(
    String at,
    String method,
    String host,
    String path,
    String action,
    int status,
    String outcome,
    String step,
    String peer,
    String detail) {}
