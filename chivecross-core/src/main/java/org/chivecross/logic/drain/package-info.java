/** Graceful stop of an entry. */
@NullMarked
package org.chivecross.logic.drain;

import org.jspecify.annotations.NullMarked;
