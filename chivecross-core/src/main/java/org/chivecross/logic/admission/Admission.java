package org.chivecross.logic.admission;

import org.chivecross.model.request.LoadReport;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;

/** Order of requests as the dispatcher uses it. Implementations must not block. */
public interface Admission {

  /** Places requests without an order. */
  Admission NONE =
      new Admission() {
        @Override
        public void applyRules(RuleSet rules) {}

        @Override
        public void arrived(String service, double workMillis) {}

        @Override
        public AdmissionDecision decide(RequestSituation situation, long nowNanos) {
          return new AdmissionDecision.Unordered();
        }

        @Override
        public AdmissionDecision peek(RequestSituation situation, long nowNanos) {
          return new AdmissionDecision.Unordered();
        }

        @Override
        public void reported(String service, LoadReport report, long nowNanos) {}

        @Override
        public void ended(RouteRule route, String service, boolean served, long nowNanos) {}

        @Override
        public double pressure(String service, long nowNanos) {
          return 0;
        }
      };

  /** Replaces the rule set. */
  void applyRules(RuleSet rules);

  /**
   * Records the arrival of a request.
   *
   * @param workMillis expected response time of a free target at nominal speed, in ms
   */
  void arrived(String service, double workMillis);

  /** Decides about a request that has no target yet; called again until it has one. */
  AdmissionDecision decide(RequestSituation situation, long nowNanos);

  /** Returns what {@link #decide} would return, without a change of any state. */
  AdmissionDecision peek(RequestSituation situation, long nowNanos);

  /** Handles the load report of a target of a service. */
  void reported(String service, LoadReport report, long nowNanos);

  /**
   * Records the end of a request.
   *
   * @param served whether a target answered it
   */
  void ended(RouteRule route, String service, boolean served, long nowNanos);

  /** Returns the pressure on a service; 0 when nothing is known. */
  double pressure(String service, long nowNanos);
}
