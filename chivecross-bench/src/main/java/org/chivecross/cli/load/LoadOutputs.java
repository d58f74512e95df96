package org.chivecross.cli.load;

/**
 * Names of the files that a run writes; an empty name means that the file is not written.
 * Immutable.
 *
 * @param history history file, one JSON line per event
 * @param plot PNG plot of the latencies
 * @param json report as JSON
 */
record LoadOutputs(String history, String plot, String json) {}
