/** Settings shared by the programs of this module. */
@NullMarked
package org.chivecross.cli.settings;

import org.jspecify.annotations.NullMarked;
