/** Read-only administration API of an entry, on its own address. */
@NullMarked
package org.chivecross.cli.entry.admin;

import org.jspecify.annotations.NullMarked;
