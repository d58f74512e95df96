/** Subsetting of targets for fleets with more entries than a target accepts connections. */
@NullMarked
package org.chivecross.logic.subset;

import org.jspecify.annotations.NullMarked;
