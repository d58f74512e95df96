/** Immutable records of a checked file set. */
@NullMarked
package org.chivecross.model.fileset;

import org.jspecify.annotations.NullMarked;
