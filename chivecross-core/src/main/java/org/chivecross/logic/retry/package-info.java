/** Retry budgets and hedged requests. */
@NullMarked
package org.chivecross.logic.retry;

import org.jspecify.annotations.NullMarked;
