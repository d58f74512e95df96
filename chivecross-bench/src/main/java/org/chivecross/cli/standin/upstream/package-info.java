/** Stand-in for the targets of a file set. */
@NullMarked
package org.chivecross.cli.standin.upstream;

import org.jspecify.annotations.NullMarked;
