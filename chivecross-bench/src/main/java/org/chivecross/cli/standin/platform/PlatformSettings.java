package org.chivecross.cli.standin.platform;

import java.nio.file.Path;
import org.chivecross.cli.settings.HostPort;

/**
 * Settings of the platform stand-in. Immutable.
 *
 * @param packed directory with {@code manifest} and {@code files/SHA256}
 * @param deployment deployment of the set
 * @param listen address of the service
 * @param vms JSON file with the list of VMs; empty for none
 */
public record PlatformSettings(Path packed, String deployment, HostPort listen, String vms) {}
