/** Checking of recorded histories. */
@NullMarked
package org.chivecross.logic.history;

import org.jspecify.annotations.NullMarked;
