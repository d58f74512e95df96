package org.chivecross.logic.dispatch;

import org.chivecross.logic.admission.Admission;
import org.chivecross.logic.admission.RequestOrder;

/**
 * Interfaces of a dispatcher to the rest of its entry. Immutable.
 *
 * @param probes sends probes to targets
 * @param leaving is notified of targets that announce their shutdown
 * @param forwarding names the entries to which requests may be forwarded
 * @param limits shares the request limits of targets with other entries
 * @param suspects shares what is known of requests under which targets end
 * @param admission decides which requests go first under overload
 */
public record DispatchPorts(
    ProbeSender probes,
    LeavingListener leaving,
    ForwardingPort forwarding,
    RequestLimitPort limits,
    SuspectRequestPort suspects,
    Admission admission) {

  /** Creates the ports of an entry whose order under overload goes by its own reports alone. */
  public DispatchPorts(
      ProbeSender probes,
      LeavingListener leaving,
      ForwardingPort forwarding,
      RequestLimitPort limits,
      SuspectRequestPort suspects) {
    this(probes, leaving, forwarding, limits, suspects, RequestOrder.withOwnLevels());
  }

  /** Returns the ports of an entry that runs without others. */
  public static DispatchPorts ofSingleEntry(ProbeSender probes, LeavingListener leaving) {
    return new DispatchPorts(
        probes, leaving, ForwardingPort.NONE, RequestLimitPort.NONE, SuspectRequestPort.NONE);
  }
}
