/** The node that runs membership and configuration replication, and its port for messages. */
@NullMarked
package org.chivecross.logic.peer;

import org.jspecify.annotations.NullMarked;
