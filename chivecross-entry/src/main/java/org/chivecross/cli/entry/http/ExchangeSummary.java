package org.chivecross.cli.entry.http;

import java.util.Optional;
import org.chivecross.logic.routing.Route;
import org.chivecross.model.request.Outcome;

/**
 * What is known of a request that is over. Immutable.
 *
 * @param route service and class; empty when no rule matched or the head never got that far
 * @param status HTTP status of the answer; 0 when the caller got none
 * @param outcome what the caller was told; {@link Outcome#ANSWERED} for a relayed answer
 * @param attempts number of attempts
 * @param totalNanos time from the head to the last part of the answer
 * @param queueNanos time from the body's readiness to the first attempt; 0 when there was none
 * @param upstreamNanos time from sending to the response head of the relayed attempt; 0 without one
 * @param addedNanos time from the body's readiness to the response head that was not spent waiting
 *     for the target; meaningful for relayed answers only
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
