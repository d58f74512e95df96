/** Log output of the programs. */
@NullMarked
package org.chivecross.cli.log;

import org.jspecify.annotations.NullMarked;
