package org.chivecross.model.request;

import java.util.Optional;

/**
 * Properties of a response head on which decisions depend.
 *
 * @param status HTTP status
 * @param notRun whether the target proved with {@code Chivecross-Not-Run} that it did not run the
 *     request
 * @param leaving whether the target announced that it is leaving
 * @param load load report that came with the answer
 */
public record ResponseHead(
    int status, boolean notRun, boolean leaving, Optional<LoadReport> load) {}
