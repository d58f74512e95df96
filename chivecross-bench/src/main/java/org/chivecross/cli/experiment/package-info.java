/** Experiments that drive the decision logic in virtual time. */
@NullMarked
package org.chivecross.cli.experiment;

import org.jspecify.annotations.NullMarked;
