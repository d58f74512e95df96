/** Subsets of targets for fleets beyond the connection bound of a target. */
@NullMarked
package org.chivecross.logic.subset;

import org.jspecify.annotations.NullMarked;
