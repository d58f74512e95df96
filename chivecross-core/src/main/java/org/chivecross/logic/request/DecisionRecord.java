package org.chivecross.logic.request;

/**
 * Decision kept for the operators. Immutable.
 *
 * @param sequence number of the record, from 0
 * @param nanos monotonic time of the decision
 * @param method HTTP method
 * @param host host name
 * @param path path without query, truncated when it is long
 * @param action answer, abort, resend or pass-to-owner
 * @param attempt number of the attempt that is resent; -1 for other actions
 * @param target row of the target of a resend; -1 for other actions
 * @param status HTTP status of an answer; 0 for other actions
 * @param outcome outcome sent to the caller; empty without an answer
 * @param step step of the cause; empty when there is none
 * @param peer peer of the cause; empty when there is none
 * @param detail cause in one line
 */
public record DecisionRecord(
    long sequence,
    long nanos,
    String method,
    String host,
    String path,
    String action,
    int attempt,
    int target,
    int status,
    String outcome,
    String step,
    String peer,
    String detail) {}
