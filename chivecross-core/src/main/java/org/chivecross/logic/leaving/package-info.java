/** Collection of evidence that targets are leaving. */
@NullMarked
package org.chivecross.logic.leaving;

import org.jspecify.annotations.NullMarked;
