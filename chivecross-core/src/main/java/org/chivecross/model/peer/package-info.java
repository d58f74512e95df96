/** Members, the membership table and the messages between entries. */
@NullMarked
package org.chivecross.model.peer;

import org.jspecify.annotations.NullMarked;
