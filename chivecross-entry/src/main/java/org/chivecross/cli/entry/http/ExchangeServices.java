package org.chivecross.cli.entry.http;

import java.util.function.BooleanSupplier;
import org.chivecross.logic.key.OwnerCalls;
import org.chivecross.logic.request.RequestMachines;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.logic.routing.RequestRouter;

/**
 * What all exchanges share.
 *
 * @param machines creates the machine of each request
 * @param router finds the tenant and class that a request counts for
 * @param retries tells when a connection counts as silent
 * @param owners passes requests to the entries that own their keys
 * @param client connections to targets
 * @param inFlight all exchanges that have started and are not over
 * @param observer learns what became of requests
 * @param leaving whether this entry is leaving, so that connections end with their next answer
 * @param settings limits and time-outs
 */
record ExchangeServices(
    RequestMachines machines,
    RequestRouter router,
    RetryControl retries,
    OwnerCalls owners,
    UpstreamClient client,
    InFlight inFlight,
    ExchangeObserver observer,
    BooleanSupplier leaving,
    DataPathSettings settings) {}
