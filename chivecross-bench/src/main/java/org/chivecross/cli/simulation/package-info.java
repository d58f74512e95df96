/** Simulation of many entries in virtual time with a fake network and a fake platform. */
@NullMarked
package org.chivecross.cli.simulation;

import org.jspecify.annotations.NullMarked;
