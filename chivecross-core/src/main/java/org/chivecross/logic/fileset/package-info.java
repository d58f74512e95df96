/** Parsing and checking of file sets. */
@NullMarked
package org.chivecross.logic.fileset;

import org.jspecify.annotations.NullMarked;
