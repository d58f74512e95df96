/** Health probes of targets, limited by a budget. */
@NullMarked
package org.chivecross.logic.probe;

import org.jspecify.annotations.NullMarked;
