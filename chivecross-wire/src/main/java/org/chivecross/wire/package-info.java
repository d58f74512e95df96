/** Protocol between entries. */
@NullMarked
package org.chivecross.wire;

import org.jspecify.annotations.NullMarked;
