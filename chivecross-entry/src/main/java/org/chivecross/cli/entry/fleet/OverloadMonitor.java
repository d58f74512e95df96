package org.chivecross.cli.entry.fleet;

import java.util.List;
import java.util.Locale;
import org.chivecross.logic.admission.OverloadLevels;
import org.chivecross.logic.admission.PressureLevel;
import org.chivecross.logic.admission.RequestOrder;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.model.fleet.FleetMember;
import org.tinylog.Logger;

/**
 * Connects the order under overload to the other entries and to the log. All calls are made while
 * the lock of the entry is held.
 */
final class OverloadMonitor {

  private final long incarnation;
  private final OverloadLevels levels = new OverloadLevels(OverloadMonitor::logChange);
  private final RequestOrder order = new RequestOrder(levels);

  OverloadMonitor(long incarnation) {
    this.incarnation = incarnation;
  }

  RequestOrder order() {
    return order;
  }

  OverloadLevels levels() {
    return levels;
  }

  /** Takes over what other entries advertise and advertises the pressure seen by this one. */
  void exchange(FleetNode node, long nowNanos) {
    List<FleetMember> others = node.others(nowNanos);
    levels.advertised(others);
    node.setServiceLoads(levels.toAdvertise(others.size() + 1, incarnation, nowNanos));
  }

  private static void logChange(
      String service, PressureLevel before, PressureLevel now, double pressure) {
    Logger.info(
        "pressure level of service {}: {} after {}, pressure {}",
        service,
        now,
        before,
        String.format(Locale.ROOT, "%.2f", pressure));
  }
}
