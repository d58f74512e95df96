/** Directory of the entries that a caller may use. */
@NullMarked
package org.chivecross.logic.directory;

import org.jspecify.annotations.NullMarked;
