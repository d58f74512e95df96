package org.chivecross.logic.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Allowed format of a text setting. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
public @interface AllowedForm {

  /** Regular expression that the whole text must match. */
  String pattern();

  /** Description of the format for error messages and the help text. */
  String allowed();
}
