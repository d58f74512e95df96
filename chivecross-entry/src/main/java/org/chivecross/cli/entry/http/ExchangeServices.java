package org.chivecross.cli.entry.http;

import org.chivecross.logic.request.RequestMachines;

/**
 * What all exchanges share.
 *
 * @param machines creates the machine of each request
 * @param client connections to targets
 * @param inFlight all exchanges that have started and are not over
 * @param settings limits and time-outs
 */
record ExchangeServices(
    RequestMachines machines,
    UpstreamClient client,
    InFlight inFlight,
    DataPathSettings settings) {}
