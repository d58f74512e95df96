/** Measurement of the latency that an entry adds to a call. */
@NullMarked
package org.chivecross.cli.experiment.latency;

import org.jspecify.annotations.NullMarked;
