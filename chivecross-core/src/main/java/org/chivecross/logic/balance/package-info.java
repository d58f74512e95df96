/** Load balancing: selection of the target of a request. */
@NullMarked
package org.chivecross.logic.balance;

import org.jspecify.annotations.NullMarked;
