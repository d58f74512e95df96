/** Idempotency keys: issue of prefixes, and records of the requests that use them. */
@NullMarked
package org.chivecross.logic.key;

import org.jspecify.annotations.NullMarked;
