/** Open-loop load generator. */
@NullMarked
package org.chivecross.cli.load;

import org.jspecify.annotations.NullMarked;
