/** Stand-in for the targets of a file set: HTTP servers with configurable faults. */
@NullMarked
package org.chivecross.cli.standin.upstream;

import org.jspecify.annotations.NullMarked;
