/** Records of idempotency keys. */
@NullMarked
package org.chivecross.logic.key;

import org.jspecify.annotations.NullMarked;
