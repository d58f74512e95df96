/** Order of requests under overload: pressure on services and the admission of single requests. */
@NullMarked
package org.chivecross.logic.admission;

import org.jspecify.annotations.NullMarked;
