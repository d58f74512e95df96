package org.chivecross.cli.entry.http;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Services that all exchanges share.
 *
 * @param ports interfaces to the rest of the entry
 * @param client connections to targets
 * @param inFlight all exchanges that have started and are not over
 * @param leaving whether this entry is leaving and closes connections after their next response
 * @param maxBodyBytes most bytes of a request body
 * @param settings limits and time-outs
 */
record ExchangeServices(
    DataPathPorts ports,
    UpstreamClient client,
    InFlightExchanges inFlight,
    BooleanSupplier leaving,
    LongSupplier maxBodyBytes,
    DataPathSettings settings) {}
