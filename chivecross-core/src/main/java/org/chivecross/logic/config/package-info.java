/** The configuration in force: learning, checking and passing on of file sets. */
@NullMarked
package org.chivecross.logic.config;

import org.jspecify.annotations.NullMarked;
