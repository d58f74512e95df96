/** Placement of requests on targets whose load changes within milliseconds. */
@NullMarked
package org.chivecross.logic.dispatch;

import org.jspecify.annotations.NullMarked;
