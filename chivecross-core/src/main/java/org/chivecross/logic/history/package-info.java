/** Checks of recorded test histories against rules. */
@NullMarked
package org.chivecross.logic.history;

import org.jspecify.annotations.NullMarked;
