/** Events recorded by the processes of a test run. */
@NullMarked
package org.chivecross.model.history;

import org.jspecify.annotations.NullMarked;
