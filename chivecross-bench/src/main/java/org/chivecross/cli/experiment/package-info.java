/** Experiments with the decision logic in virtual time, and with entry processes on one machine. */
@NullMarked
package org.chivecross.cli.experiment;

import org.jspecify.annotations.NullMarked;
