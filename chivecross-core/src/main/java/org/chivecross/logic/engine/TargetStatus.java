package org.chivecross.logic.engine;

import java.util.List;
import org.chivecross.model.request.LoadReport;

/**
 * Status of a target for the administration API. Immutable.
 *
 * @param row row of the target
 * @param address {@code ip:port}
 * @param service name of its service
 * @param dataCentre data centre of the target
 * @param inFlight attempts of this entry in flight
 * @param report newest load report; all zero before the first one
 * @param reportAgeMillis age of that report in ms; -1 before the first one
 * @param successes attempts that succeeded
 * @param failures attempts that failed
 * @param weight share of a full load that it may receive, from 0 to 1
 * @param reasons every reason for a weight below 1
 */
public record TargetStatus(
    int row,
    String address,
    String service,
    String dataCentre,
    int inFlight,
    LoadReport report,
    long reportAgeMillis,
    long successes,
    long failures,
    double weight,
    List<String> reasons) {
  public TargetStatus {
    reasons = List.copyOf(reasons);
  }
}
