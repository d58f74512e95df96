/** Directory from which callers get the addresses of entries. */
@NullMarked
package org.chivecross.cli.entry.directory;

import org.jspecify.annotations.NullMarked;
