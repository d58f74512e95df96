package org.chivecross.logic.admission;

/** Overload of a service as one entry sees it, in increasing order. */
public enum PressureLevel {
  /** Free slots are found with few probes. */
  NONE,
  /** Most targets have at most one free slot. */
  RAISED,
  /** Most targets have no free slot. */
  HIGH
}
