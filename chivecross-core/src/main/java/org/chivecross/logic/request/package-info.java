/** State machine of one request from arrival to outcome. */
@NullMarked
package org.chivecross.logic.request;

import org.jspecify.annotations.NullMarked;
