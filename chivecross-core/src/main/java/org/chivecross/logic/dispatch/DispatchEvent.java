package org.chivecross.logic.dispatch;

import org.chivecross.model.failure.Failure;

/** A decision about one request, with what decided it. Immutable. */
public sealed interface DispatchEvent {

  /**
   * The request is sent to a target.
   *
   * @param attempt number of the attempt, from 0
   * @param target what is known of the target
   * @param expectedMillis time that the answer is expected to take, in ms
   * @param usableTargets targets of the service that could have been chosen
   */
  record Sent(int attempt, TargetLoad target, long expectedMillis, int usableTargets)
      implements DispatchEvent {}

  /**
   * An attempt did not lead to an answer for the caller.
   *
   * @param attempt number of the attempt, from 0
   * @param target what is known of the target
   * @param detail what happened
   * @param mayHaveRun whether the target may have run the request
   */
  record AttemptFailed(int attempt, TargetLoad target, String detail, boolean mayHaveRun)
      implements DispatchEvent {}

  /**
   * The entry answers the caller itself.
   *
   * @param status HTTP status
   * @param failure step and peer of the cause
   * @param retryAfterMillis advice when to come back, in ms; 0 for none
   * @param waitedMillis time since the request arrived, in ms
   */
  record Answered(int status, Failure failure, long retryAfterMillis, long waitedMillis)
      implements DispatchEvent {}

  /**
   * The caller gets a target's answer later than the latency objective of its route.
   *
   * @param attempt number of the attempt, from 0
   * @param target what is known of the target
   * @param status HTTP status
   * @param targetMillis time from sending to the head of the answer, in ms
   * @param totalMillis time since the request arrived, in ms
   * @param objectiveMillis latency objective of the route, in ms
   */
  record AnsweredLate(
      int attempt,
      TargetLoad target,
      int status,
      long targetMillis,
      long totalMillis,
      long objectiveMillis)
      implements DispatchEvent {}

  /**
   * A target and its last report.
   *
   * @param id name of the target
   * @param running requests that it reported in service, and those sent to it since
   * @param waiting requests that it reported to be waiting
   * @param slowdownPercent how long it said that work takes, in percent of the usual time
   * @param reportAgeMillis age of the report, in ms; -1 when there is none
   */
  record TargetLoad(
      String id, int running, int waiting, int slowdownPercent, long reportAgeMillis) {}
}
