/** Facade of the load-balancing decisions of one entry. */
@NullMarked
package org.chivecross.logic.engine;

import org.jspecify.annotations.NullMarked;
