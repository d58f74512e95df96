package org.chivecross.cli.entry.http;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * What all exchanges share.
 *
 * @param ports what the data path asks of its surroundings
 * @param client connections to targets
 * @param inFlight all exchanges that have started and are not over
 * @param leaving whether this entry is leaving, so that connections end with their next answer
 * @param maxBodyBytes most bytes of a request body that is taken
 * @param settings limits and time-outs
 */
record ExchangeServices(
    DataPathPorts ports,
    UpstreamClient client,
    InFlightExchanges inFlight,
    BooleanSupplier leaving,
    LongSupplier maxBodyBytes,
    DataPathSettings settings) {}
