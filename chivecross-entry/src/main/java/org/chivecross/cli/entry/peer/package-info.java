/** The share of one entry in the common view. */
@NullMarked
package org.chivecross.cli.entry.peer;

import org.jspecify.annotations.NullMarked;
