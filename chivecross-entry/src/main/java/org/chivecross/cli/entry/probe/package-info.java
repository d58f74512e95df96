/** Sends the health probes that the decision logic requests. */
@NullMarked
package org.chivecross.cli.entry.probe;

import org.jspecify.annotations.NullMarked;
