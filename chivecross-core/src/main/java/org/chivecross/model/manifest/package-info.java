/** Immutable records of a published manifest and its version. */
@NullMarked
package org.chivecross.model.manifest;

import org.jspecify.annotations.NullMarked;
