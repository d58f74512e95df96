package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Settings of the placement of requests. Immutable.
 *
 * @param dataCentre data centre of this entry
 * @param crossDataCentreMillis disadvantage of a target in another data centre, in ms of work
 * @param crossDataCentreMillisPerKilobyte the same for each kilobyte of the request's body
 * @param probesPerTargetAndSecond most probes that one target may get in a second from all entries
 * @param retryBudgetRatio sends beyond the first that are allowed for each request of a service
 * @param retryBudgetFixed sends beyond the first that are allowed in a window without any request
 * @param retryBudgetWindowMillis length of that window, in ms
 */
public record DispatchPreferences(
    String dataCentre,
    double crossDataCentreMillis,
    double crossDataCentreMillisPerKilobyte,
    double probesPerTargetAndSecond,
    double retryBudgetRatio,
    double retryBudgetFixed,
    long retryBudgetWindowMillis) {

  long retryBudgetWindowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(retryBudgetWindowMillis);
  }
}
