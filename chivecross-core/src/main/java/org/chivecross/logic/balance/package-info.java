/** Choice of a target. */
@NullMarked
package org.chivecross.logic.balance;

import org.jspecify.annotations.NullMarked;
