/** Writes and checks the history files of a run. */
@NullMarked
package org.chivecross.cli.history;

import org.jspecify.annotations.NullMarked;
