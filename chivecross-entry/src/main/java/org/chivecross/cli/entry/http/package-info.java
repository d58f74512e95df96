/** HTTP towards callers and upstreams. */
@NullMarked
package org.chivecross.cli.entry.http;

import org.jspecify.annotations.NullMarked;
