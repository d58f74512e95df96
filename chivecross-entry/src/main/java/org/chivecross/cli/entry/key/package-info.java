/** Idempotency keys of one entry: outcome queries, cancelling, and calls of other entries. */
@NullMarked
package org.chivecross.cli.entry.key;

import org.jspecify.annotations.NullMarked;
