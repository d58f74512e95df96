/** Sealed results and the failures they carry. */
@NullMarked
package org.chivecross.model.failure;

import org.jspecify.annotations.NullMarked;
