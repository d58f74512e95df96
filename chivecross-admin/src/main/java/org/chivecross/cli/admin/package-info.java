/** Command-line client of the administration API. */
@NullMarked
package org.chivecross.cli.admin;

import org.jspecify.annotations.NullMarked;
