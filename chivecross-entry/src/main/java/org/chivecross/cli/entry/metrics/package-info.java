/** Metrics in Prometheus format. */
@NullMarked
package org.chivecross.cli.entry.metrics;

import org.jspecify.annotations.NullMarked;
