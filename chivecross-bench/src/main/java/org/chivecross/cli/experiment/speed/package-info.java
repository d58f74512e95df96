/** JMH benchmarks of the decision logic. */
@NullMarked
package org.chivecross.cli.experiment.speed;

import org.jspecify.annotations.NullMarked;
