package org.chivecross.logic.dispatch;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Settings of the placement of requests on targets. Immutable.
 *
 * @param dataCentre data centre of this entry
 * @param crossDataCentreMillis penalty of a target in another data centre, in ms of response time
 * @param crossDataCentreMillisPerKilobyte additional penalty for each kilobyte of the request body
 * @param probesPerTargetAndSecond maximum rate of probes to one target from all entries together
 * @param retryBudgetRatio retries and hedged requests allowed for each request of a service
 * @param retryBudgetFixed retries and hedged requests allowed in each window independently of the
 *     number of requests
 * @param retryBudgetWindowMillis length of that window, in ms
 * @param regions region of each data centre
 */
public record DispatchPreferences(
    String dataCentre,
    double crossDataCentreMillis,
    double crossDataCentreMillisPerKilobyte,
    double probesPerTargetAndSecond,
    double retryBudgetRatio,
    double retryBudgetFixed,
    long retryBudgetWindowMillis,
    Map<String, String> regions) {

  public DispatchPreferences {
    regions = Map.copyOf(regions);
  }

  /** Creates the settings of a deployment whose regions are not known. */
  public DispatchPreferences(
      String dataCentre,
      double crossDataCentreMillis,
      double crossDataCentreMillisPerKilobyte,
      double probesPerTargetAndSecond,
      double retryBudgetRatio,
      double retryBudgetFixed,
      long retryBudgetWindowMillis) {
    this(
        dataCentre,
        crossDataCentreMillis,
        crossDataCentreMillisPerKilobyte,
        probesPerTargetAndSecond,
        retryBudgetRatio,
        retryBudgetFixed,
        retryBudgetWindowMillis,
        Map.of());
  }

  long retryBudgetWindowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(retryBudgetWindowMillis);
  }
}
