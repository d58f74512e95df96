/** Settings from flags and environment variables. */
@NullMarked
package org.chivecross.logic.settings;

import org.jspecify.annotations.NullMarked;
