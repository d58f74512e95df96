/** Which entries a caller may use. */
@NullMarked
package org.chivecross.logic.directory;

import org.jspecify.annotations.NullMarked;
