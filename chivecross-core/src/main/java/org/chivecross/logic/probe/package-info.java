/** Probes within their budget. */
@NullMarked
package org.chivecross.logic.probe;

import org.jspecify.annotations.NullMarked;
