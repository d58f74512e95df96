/** Targets as the platform's registry lists them. */
@NullMarked
package org.chivecross.model.registry;

import org.jspecify.annotations.NullMarked;
