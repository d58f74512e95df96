/** TCP transport and message encoding of the protocol between entries. */
@NullMarked
package org.chivecross.wire;

import org.jspecify.annotations.NullMarked;
