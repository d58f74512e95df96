/** Retry budgets and hedging. */
@NullMarked
package org.chivecross.logic.retry;

import org.jspecify.annotations.NullMarked;
