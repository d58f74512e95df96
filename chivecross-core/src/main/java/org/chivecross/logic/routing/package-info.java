/** Matching of requests to services. */
@NullMarked
package org.chivecross.logic.routing;

import org.jspecify.annotations.NullMarked;
