package org.chivecross.cli.load;

/**
 * One request to be sent.
 *
 * @param id unique id, the same on every copy
 * @param kind kind of the request
 * @param caller number of the caller
 * @param workMicros service time at the target in µs
 * @param intendedNanos monotonic time at which it should start
 */
record RequestTicket(
    String id, RequestKind kind, int caller, long workMicros, long intendedNanos) {}
