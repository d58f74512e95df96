package org.chivecross.logic.request;

import org.chivecross.logic.balance.TargetSelector;
import org.chivecross.logic.balance.UpstreamObserver;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.limit.AdmissionControl;
import org.chivecross.logic.retry.RetryControl;
import org.chivecross.logic.routing.RequestRouter;

/**
 * Policies that decide about a request. Each is thread-safe.
 *
 * @param router finds the service and the class
 * @param admission admission control
 * @param selector chooses targets
 * @param observer receives the results of attempts
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
