/** Entries as members, the table of them, and the messages between them. */
@NullMarked
package org.chivecross.model.peer;

import org.jspecify.annotations.NullMarked;
