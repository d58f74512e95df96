/** Offline check and packing of a file set. */
@NullMarked
package org.chivecross.cli.check;

import org.jspecify.annotations.NullMarked;
