/** Gossip membership of the entries and its failure detector. */
@NullMarked
package org.chivecross.logic.membership;

import org.jspecify.annotations.NullMarked;
