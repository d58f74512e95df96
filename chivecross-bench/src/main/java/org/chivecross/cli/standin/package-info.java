/** Programs that stand in for the platform and for upstreams in tests and experiments. */
@NullMarked
package org.chivecross.cli.standin;

import org.jspecify.annotations.NullMarked;
