/** Entries that find each other and share what few of them read from the platform's store. */
@NullMarked
package org.chivecross.logic.fleet;

import org.jspecify.annotations.NullMarked;
