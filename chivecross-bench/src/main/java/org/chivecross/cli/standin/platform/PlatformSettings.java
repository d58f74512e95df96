package org.chivecross.cli.standin.platform;

import java.nio.file.Path;
import org.chivecross.cli.settings.HostPort;

/**
 * Settings of the platform stand-in. Immutable.
 *
 * @param packed directory that holds {@code manifest} and the files as {@code files/SHA256}
 * @param deployment name of the deployment of the file set
 * @param listen address on which the stand-in listens
 * @param vms JSON file with the list of VMs; empty for none
 */
public record PlatformSettings(Path packed, String deployment, HostPort listen, String vms) {}
