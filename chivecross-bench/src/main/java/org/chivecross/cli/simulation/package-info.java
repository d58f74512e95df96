/** Entries in one process with a fake network and a fake platform in virtual time. */
@NullMarked
package org.chivecross.cli.simulation;

import org.jspecify.annotations.NullMarked;
