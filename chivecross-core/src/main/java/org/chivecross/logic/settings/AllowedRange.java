package org.chivecross.logic.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Inclusive bounds of an integer setting. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
public @interface AllowedRange {

  /** Smallest value. */
  long min();

  /** Largest value. */
  long max();
}
