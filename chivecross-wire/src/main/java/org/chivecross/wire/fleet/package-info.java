/** Gossip datagrams between entries. */
@NullMarked
package org.chivecross.wire.fleet;

import org.jspecify.annotations.NullMarked;
