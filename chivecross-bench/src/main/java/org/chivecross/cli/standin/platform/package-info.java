/** Stand-in for the platform: configuration service and list of VMs. */
@NullMarked
package org.chivecross.cli.standin.platform;

import org.jspecify.annotations.NullMarked;
