/** Membership and configuration of one entry, as an agent of the fleet or standalone. */
@NullMarked
package org.chivecross.cli.entry.peer;

import org.jspecify.annotations.NullMarked;
