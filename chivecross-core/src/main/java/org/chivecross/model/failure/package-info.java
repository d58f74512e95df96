/** Result type that holds a value or failures. */
@NullMarked
package org.chivecross.model.failure;

import org.jspecify.annotations.NullMarked;
