/** The HTTP proxy: connections to callers and upstreams, and the exchanges between them. */
@NullMarked
package org.chivecross.cli.entry.http;

import org.jspecify.annotations.NullMarked;
