package org.chivecross.model.fileset;

/**
 * Round trip time between two data centres.
 *
 * @param from one data centre
 * @param to the other data centre
 * @param roundTripMicros round trip time in µs
 */
public record DataCentreLink(String from, String to, int roundTripMicros) {}
