/** What entries tell each other and what they read from the platform. */
@NullMarked
package org.chivecross.model.fleet;

import org.jspecify.annotations.NullMarked;
