/** Reading, writing and checking of manifests. */
@NullMarked
package org.chivecross.logic.manifest;

import org.jspecify.annotations.NullMarked;
