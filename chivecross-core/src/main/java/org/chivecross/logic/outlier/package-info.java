/** Outlier detection: ejection of failing targets. */
@NullMarked
package org.chivecross.logic.outlier;

import org.jspecify.annotations.NullMarked;
