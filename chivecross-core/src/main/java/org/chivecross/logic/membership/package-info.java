/** Failure detection and the view of the entries. */
@NullMarked
package org.chivecross.logic.membership;

import org.jspecify.annotations.NullMarked;
