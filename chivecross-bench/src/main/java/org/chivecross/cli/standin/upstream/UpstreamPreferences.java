package org.chivecross.cli.standin.upstream;

import java.nio.file.Path;

/**
 * Settings of the upstream stand-in.
 *
 * @param files directory of the file set
 * @param control address of the control endpoint as {@code host:port}
 * @param history file for history lines; empty for none
 * @param seed seed of all random behaviour
 * @param noisyTargets targets of each service that are disturbed at random moments
 * @param noiseFactor how many times slower a disturbed target is
 */
record UpstreamPreferences(
    Path files, String control, String history, long seed, int noisyTargets, double noiseFactor) {}
