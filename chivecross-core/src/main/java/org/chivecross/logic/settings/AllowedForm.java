package org.chivecross.logic.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Form of a text given by a flag. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
public @interface AllowedForm {

  /** Regular expression of the whole text. */
  String pattern();

  /** Description for messages and the help text. */
  String allowed();
}
