/** Writing of history files. */
@NullMarked
package org.chivecross.cli.history;

import org.jspecify.annotations.NullMarked;
