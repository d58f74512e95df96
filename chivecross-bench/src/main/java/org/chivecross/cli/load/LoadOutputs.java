package org.chivecross.cli.load;

/**
 * Files that a run writes; an empty name stands for none.
 *
 * @param history one JSON line per event
 * @param plot PNG plot of the latencies
 * @param json report as JSON
 */
record LoadOutputs(String history, String plot, String json) {}
