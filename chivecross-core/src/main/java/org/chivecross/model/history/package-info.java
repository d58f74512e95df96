/** Events that the processes of a test run saw. */
@NullMarked
package org.chivecross.model.history;

import org.jspecify.annotations.NullMarked;
