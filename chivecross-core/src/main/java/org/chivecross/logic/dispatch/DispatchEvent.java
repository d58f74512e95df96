package org.chivecross.logic.dispatch;

import org.chivecross.model.failure.Failure;

/** Decision about one request, with the data on which it was based. Immutable. */
public sealed interface DispatchEvent {

  /**
   * The request is sent to a target.
   *
   * @param attempt number of the attempt, from 0
   * @param target last known load of the target
   * @param expectedMillis expected response time, in ms
   * @param usableTargets number of usable targets of the service
   */
  record Sent(int attempt, TargetLoad target, long expectedMillis, int usableTargets)
      implements DispatchEvent {}

  /**
   * The request is forwarded to another entry, since this one reaches no target.
   *
   * @param attempt number of the attempt, from 0
   * @param entry IP address of the entry
   * @param inFlight requests forwarded to it that it has not answered yet
   */
  record Forwarded(int attempt, String entry, int inFlight) implements DispatchEvent {}

  /**
   * An attempt failed.
   *
   * @param attempt number of the attempt, from 0
   * @param target last known load of the target
   * @param detail cause of the failure
   * @param mayHaveRun whether the target may have run the request
   */
  record AttemptFailed(int attempt, TargetLoad target, String detail, boolean mayHaveRun)
      implements DispatchEvent {}

  /**
   * The entry answers the caller itself.
   *
   * @param status HTTP status
   * @param failure step and peer of the cause
   * @param retryAfterMillis delay after which the caller may retry, in ms; 0 for none
   * @param waitedMillis time since the request arrived, in ms
   */
  record Answered(int status, Failure failure, long retryAfterMillis, long waitedMillis)
      implements DispatchEvent {}

  /**
   * A target's answer is relayed to the caller later than the latency objective of the route.
   *
   * @param attempt number of the attempt, from 0
   * @param target last known load of the target
   * @param status HTTP status
   * @param targetMillis time from sending the request to receiving the head of the answer, in ms
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
   * A target announced its shutdown; it gets no further requests.
   *
   * @param target name of the target
   */
  record TargetLeaving(String target) implements DispatchEvent {}

  /**
   * A target asked this entry to send it nothing for some time.
   *
   * @param target name of the target
   * @param millis that time, in ms
   */
  record TargetHeldOff(String target, long millis) implements DispatchEvent {}

  /**
   * Last load report of a target.
   *
   * @param id name of the target
   * @param running requests in service by the last report, plus those sent to it since
   * @param waiting requests queued at the target by the last report
   * @param slowdownPercent reported service time in percent of that at nominal speed
   * @param reportAgeMillis age of the report, in ms; -1 when there is none
   */
  record TargetLoad(
      String id, int running, int waiting, int slowdownPercent, long reportAgeMillis) {}
}
