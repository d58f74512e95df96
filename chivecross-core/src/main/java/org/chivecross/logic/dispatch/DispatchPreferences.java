package org.chivecross.logic.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Settings of the placement of requests. Immutable.
 *
 * @param dataCentre data centre of this entry
 * @param crossingMillis disadvantage of a target in another data centre, in ms of work
 * @param crossingMillisPerKilobyte the same for each kilobyte of the request's body
 * @param probesPerSecond most probes that one target may get in a second from all entries
 * @param repeatRatio sends beyond the first that are allowed for each request of a service
 * @param repeatFixed sends beyond the first that are allowed in a window without any request
 * @param repeatWindowMillis length of that window, in ms
 */
public record DispatchPreferences(
    String dataCentre,
    double crossingMillis,
    double crossingMillisPerKilobyte,
    double probesPerSecond,
    double repeatRatio,
    double repeatFixed,
    long repeatWindowMillis) {

  long repeatWindowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(repeatWindowMillis);
  }
}
