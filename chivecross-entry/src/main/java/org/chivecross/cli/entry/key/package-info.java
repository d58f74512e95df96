/** Idempotency keys of one entry: outcome queries, cancellation, and calls from other entries. */
@NullMarked
package org.chivecross.cli.entry.key;

import org.jspecify.annotations.NullMarked;
