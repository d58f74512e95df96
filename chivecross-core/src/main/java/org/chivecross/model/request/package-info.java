/** Records that describe a request, its attempts and its outcome. */
@NullMarked
package org.chivecross.model.request;

import org.jspecify.annotations.NullMarked;
