/** Entry that gets its configuration and targets from the platform on which its VM runs. */
@NullMarked
package org.chivecross.cli.entry.fleet;

import org.jspecify.annotations.NullMarked;
