/** Parsing of settings that several programs of this module share. */
@NullMarked
package org.chivecross.cli.settings;

import org.jspecify.annotations.NullMarked;
