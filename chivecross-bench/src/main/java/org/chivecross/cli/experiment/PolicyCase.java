package org.chivecross.cli.experiment;

import org.chivecross.logic.balance.TargetPolicyFactory;

/**
 * A target selection policy that an experiment compares with others.
 *
 * @param name name in the printed tables
 * @param factory creates the policy; unused if {@code omniscient} is set
 * @param omniscient whether the model selects the target with the lowest true load instead
 * @param hedgeFraction hedged requests allowed as a fraction of all requests
 */
record PolicyCase(
    String name, TargetPolicyFactory factory, boolean omniscient, double hedgeFraction) {}
