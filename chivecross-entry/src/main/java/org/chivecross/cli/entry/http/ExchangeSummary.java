package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.Outcome;

/**
 * The result and the times of a request that is over. Immutable.
 *
 * @param route service and class; empty if no route was found
 * @param status HTTP status of the answer; 0 when the caller got none
 * @param outcome outcome reported to the caller; {@link Outcome#ANSWERED} for a relayed response
 * @param attempts number of attempts
 * @param totalNanos time from the request head to the last part of the response
 * @param queueNanos time from the start of the decisions to the first attempt; 0 without one
 * @param upstreamNanos time from sending to the response head of the relayed attempt; 0 without one
 * @param addedNanos time from the start of the decisions to the response head, without {@code
 *     upstreamNanos}; meaningful for relayed responses only
 */
public record ExchangeSummary(
    Optional<Route> route,
    int status,
    Outcome outcome,
    int attempts,
    long totalNanos,
    long queueNanos,
    long upstreamNanos,
    long addedNanos) {}
