/** Admission control, limits and load shedding. */
@NullMarked
package org.chivecross.logic.limit;

import org.jspecify.annotations.NullMarked;
