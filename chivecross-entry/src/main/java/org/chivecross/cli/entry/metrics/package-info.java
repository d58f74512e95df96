/** Metrics in Prometheus form. */
@NullMarked
package org.chivecross.cli.entry.metrics;

import org.jspecify.annotations.NullMarked;
