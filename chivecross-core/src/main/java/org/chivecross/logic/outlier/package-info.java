/** Ejection of targets that fail more than others. */
@NullMarked
package org.chivecross.logic.outlier;

import org.jspecify.annotations.NullMarked;
