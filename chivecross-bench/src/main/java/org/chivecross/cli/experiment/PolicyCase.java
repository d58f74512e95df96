package org.chivecross.cli.experiment;

import org.chivecross.logic.balance.TargetPolicyFactory;

/**
 * A policy under comparison.
 *
 * @param name name in tables
 * @param factory creates it; ignored when omniscient
 * @param omniscient whether the model itself joins the shortest true queue
 * @param hedgeFraction hedged requests allowed as a fraction of requests
 */
record PolicyCase(
    String name, TargetPolicyFactory factory, boolean omniscient, double hedgeFraction) {}
