package org.chivecross.logic.engine;

import java.util.Optional;
import org.chivecross.model.request.LoadReport;

/**
 * Answer of a target to a probe.
 *
 * @param leaving whether the target announces that it is leaving
 * @param load its load report
 */
public record HealthReport(boolean leaving, Optional<LoadReport> load) {}
