/** Configuration replication: discovery, fetch, check and announcement of file sets. */
@NullMarked
package org.chivecross.logic.config;

import org.jspecify.annotations.NullMarked;
