/** Open-loop load tool. */
@NullMarked
package org.chivecross.cli.load;

import org.jspecify.annotations.NullMarked;
