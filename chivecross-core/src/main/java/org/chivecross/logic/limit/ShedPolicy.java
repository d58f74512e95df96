package org.chivecross.logic.limit;

import org.chivecross.model.fileset.RequestClass;

/**
 * Share of requests of a class to shed, given how full the queues of a service are. Stateless.
 *
 * <p>The share grows linearly with the queues, uploads first and reads last, so that the load
 * settles where the queues stay short, without switching to and fro.
 */
public final class ShedPolicy {

  private static final double UPLOAD_SHED_START = 0.1;
  private static final double WRITE_SHED_START = 0.3;
  private static final double READ_SHED_START = 0.5;
  private static final double SHED_RAMP_WIDTH = 0.5;

  private ShedPolicy() {}

  /**
   * Returns the share of requests to shed, 0 to 1.
   *
   * @param fullness waiting requests as a fraction of the room for them; may be above 1
   */
  public static double shedFraction(RequestClass requestClass, double fullness) {
    double start =
        switch (requestClass) {
          case UPLOAD -> UPLOAD_SHED_START;
          case WRITE -> WRITE_SHED_START;
          case READ -> READ_SHED_START;
        };
    return Math.max(0, Math.min(1, (fullness - start) / SHED_RAMP_WIDTH));
  }
}
