/** The load balancer process that runs on each entry VM. */
@NullMarked
package org.chivecross.cli.entry;

import org.jspecify.annotations.NullMarked;
