package org.chivecross.logic.admission;

/** Is notified when the pressure level of a service changes. Implementations must not block. */
@FunctionalInterface
public interface LevelListener {

  /**
   * Handles a change.
   *
   * @param pressure pressure that caused it
   */
  void changed(String service, PressureLevel before, PressureLevel now, double pressure);
}
