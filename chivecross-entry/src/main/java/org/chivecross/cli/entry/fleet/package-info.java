/** An entry whose configuration and targets come from the platform of its VM. */
@NullMarked
package org.chivecross.cli.entry.fleet;

import org.jspecify.annotations.NullMarked;
