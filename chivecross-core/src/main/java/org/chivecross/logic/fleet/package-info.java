/** Gossip between entries: membership, and distribution of reads of the platform's store. */
@NullMarked
package org.chivecross.logic.fleet;

import org.jspecify.annotations.NullMarked;
