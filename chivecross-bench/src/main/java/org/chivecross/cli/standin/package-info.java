/** Stand-ins for the platform and for upstreams. */
@NullMarked
package org.chivecross.cli.standin;

import org.jspecify.annotations.NullMarked;
