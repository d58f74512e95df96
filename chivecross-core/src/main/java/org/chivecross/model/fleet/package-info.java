/** Gossip messages between entries and results of store reads. */
@NullMarked
package org.chivecross.model.fleet;

import org.jspecify.annotations.NullMarked;
