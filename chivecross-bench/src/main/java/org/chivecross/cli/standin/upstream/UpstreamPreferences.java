package org.chivecross.cli.standin.upstream;

import java.nio.file.Path;

/**
 * Settings of the upstream stand-in. Immutable.
 *
 * @param files directory of the file set
 * @param control address of the control endpoint as {@code host:port}
 * @param history history file; empty for none
 * @param seed seed of the random slowdowns
 * @param noisyTargets number of targets of each service that are slowed down at random times
 * @param noiseFactor factor by which the service time grows during a random slowdown
 */
record UpstreamPreferences(
    Path files, String control, String history, long seed, int noisyTargets, double noiseFactor) {}
