/** Seam towards other entries and the node that drives all systems of the shared view. */
@NullMarked
package org.chivecross.logic.peer;

import org.jspecify.annotations.NullMarked;
