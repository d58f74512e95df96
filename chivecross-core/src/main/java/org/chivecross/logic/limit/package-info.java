/** Admission and limits. */
@NullMarked
package org.chivecross.logic.limit;

import org.jspecify.annotations.NullMarked;
