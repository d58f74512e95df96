/** Routes, services and limits that an operator publishes as one versioned set. */
@NullMarked
package org.chivecross.model.ruleset;

import org.jspecify.annotations.NullMarked;
