/** Sends the probes that the decision logic asks for. */
@NullMarked
package org.chivecross.cli.entry.probe;

import org.jspecify.annotations.NullMarked;
