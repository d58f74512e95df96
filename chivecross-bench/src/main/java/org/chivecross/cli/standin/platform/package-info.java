/** Stand-in for the platform: its configuration service and its list of VMs. */
@NullMarked
package org.chivecross.cli.standin.platform;

import org.jspecify.annotations.NullMarked;
