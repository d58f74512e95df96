package org.chivecross.logic.request;

import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.logic.routing.RequestRouter;

/**
 * Everything that a request asks on its way. Each part is safe for use by many threads.
 *
 * @param router finds service and class
 * @param admission decides whether it may start
 * @param selector chooses targets
 * @param observer learns from attempts
 * @param retries budgets of retries and hedged requests
 * @param keys records of idempotency keys
 */
public record RequestPolicies(
    RequestRouter router,
    AdmissionControl admission,
    TargetSelector selector,
    UpstreamObserver observer,
    RetryControl retries,
    KeyRegistry keys) {}
