/** HTTP client of the platform. */
@NullMarked
package org.chivecross.cli.entry.platform;

import org.jspecify.annotations.NullMarked;
