package org.chivecross.logic.dispatch;

import java.util.List;

/**
 * Explains where a request would be sent now, and why. Immutable.
 *
 * @param outcome what would happen to the request
 * @param detail reason for the outcome
 * @param route name of its route; "" if no route matches
 * @param service service that the next request of the route goes to; "" if no route matches
 * @param admission how the request would be admitted under pressure
 * @param deadlineMillis time until its deadline, in ms
 * @param nominalMillis response time of the route at a target with free slots and nominal speed, in
 *     ms
 * @param target name of the target that would be chosen; "" for none
 * @param candidates registered targets of the service: those that may be chosen first, by their
 *     ranking, then the limited ones, then the others
 */
public record PlacementExplanation(
    Outcome outcome,
    String detail,
    String route,
    String service,
    Admission admission,
    long deadlineMillis,
    long nominalMillis,
    String target,
    List<Candidate> candidates) {

  public PlacementExplanation {
    candidates = List.copyOf(candidates);
  }

  /** What would happen to a request. */
  public enum Outcome {
    PLACE("place"),
    PLACE_AFTER_PROBE("place after probe"),
    FORWARD("forward"),
    WAIT("wait"),
    REFUSE("refuse"),
    NO_ROUTE("no route");

    private final String text;

    Outcome(String text) {
      this.text = text;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  /** Why a target is preferred, comes later or gets nothing. */
  public enum Reason {
    GOOD_ENOUGH("good enough"),
    NO_REPORT("no load report yet"),
    OTHER_DATA_CENTRE("other data centre"),
    SLOW("slow"),
    FULL("full"),
    FAILED_LATELY("failed lately"),
    LIMIT_SHARE("request limit, share left"),
    WARM_UP_SHARE("warm-up rate, share left"),
    LIMIT_WITHOUT_SHARE("request limit without a share"),
    WARM_UP_WITHOUT_SHARE("warm-up rate without a share"),
    HOLD_OFF("hold-off"),
    OUTSIDE_HOME_REGIONS("outside the home regions"),
    EVACUATED("evacuated"),
    LEAVING("leaving");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  /**
   * A registered target of the service.
   *
   * @param id name of the target
   * @param address {@code ip:port} on which it listens
   * @param dataCentre data centre that it runs in
   * @param running requests in service by its last report, plus those sent to it since
   * @param waiting requests queued by its last report
   * @param slots requests that it processes concurrently
   * @param slowdownPercent reported service time in percent of that at nominal speed
   * @param reportAgeMillis age of the report, in ms; -1 when there is none
   * @param expectedMillis expected response time, in ms
   * @param rankingMillis that time with the penalties by which targets are ranked, in ms
   * @param reason why it is preferred, comes later or gets nothing
   * @param chosen whether it would be chosen
   */
  public record Candidate(
      String id,
      String address,
      String dataCentre,
      int running,
      int waiting,
      int slots,
      int slowdownPercent,
      long reportAgeMillis,
      long expectedMillis,
      long rankingMillis,
      Reason reason,
      boolean chosen) {}

  /**
   * How a request is admitted while its service is under pressure.
   *
   * @param pressure pressure on its service; {@code none} if no route matches
   * @param decision what is decided about the request; {@code none} without pressure
   */
  public record Admission(String pressure, String decision) {}
}
