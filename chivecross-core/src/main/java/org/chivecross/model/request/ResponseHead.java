package org.chivecross.model.request;

import java.util.Optional;

/**
 * What the decisions need of a response head.
 *
 * @param status HTTP status
 * @param notRun whether the target proved with {@code Chivecross-Not-Run} that it did not run it
 * @param leaving whether the target said that it is leaving
 * @param load load that the target reported with the answer
 */
public record ResponseHead(
    int status, boolean notRun, boolean leaving, Optional<LoadReport> load) {}
