/** The balancing decisions of one entry, behind one facade. */
@NullMarked
package org.chivecross.logic.engine;

import org.jspecify.annotations.NullMarked;
