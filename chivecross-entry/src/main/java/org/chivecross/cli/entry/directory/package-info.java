/** Directory of the entries for callers. */
@NullMarked
package org.chivecross.cli.entry.directory;

import org.jspecify.annotations.NullMarked;
