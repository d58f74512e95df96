package org.chivecross.logic.limit;

import org.chivecross.model.fileset.RequestClass;

/**
 * Computes the fraction of requests of a class to shed from the fill level of a service's queues.
 * Stateless.
 *
 * <p>The fraction grows linearly with the queue length, for uploads first and reads last, so that
 * the load settles at short queues without oscillating.
 */
public final class ShedPolicy {

  private static final double UPLOAD_SHED_START = 0.1;
  private static final double WRITE_SHED_START = 0.3;
  private static final double READ_SHED_START = 0.5;
  private static final double SHED_RAMP_WIDTH = 0.5;

  private ShedPolicy() {}

  /**
   * Returns the fraction of requests to shed, from 0 to 1.
   *
   * @param queueFill waiting requests as a fraction of the queue capacity; may exceed 1
   */
  public static double shedFraction(RequestClass requestClass, double queueFill) {
    double start =
        switch (requestClass) {
          case UPLOAD -> UPLOAD_SHED_START;
          case WRITE -> WRITE_SHED_START;
          case READ -> READ_SHED_START;
        };
    return Math.max(0, Math.min(1, (queueFill - start) / SHED_RAMP_WIDTH));
  }
}
