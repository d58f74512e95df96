/**
 * Placement of requests on targets whose load changes within milliseconds: load reports, probes,
 * retry budgets and ranking of targets.
 */
@NullMarked
package org.chivecross.logic.dispatch;

import org.jspecify.annotations.NullMarked;
