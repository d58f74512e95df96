package org.chivecross.logic.config;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * What one entry holds of the configuration. Immutable and safe for use by many threads.
 *
 * @param inForce version in force
 * @param fileSet set in force
 * @param inForceSinceNanos monotonic time since which it is in force
 * @param newest highest version held, in force or rejected
 * @param rejection why the newest version was rejected; empty when it is in force
 * @param fetching version that is being fetched, {@link ConfigVersion#NONE} for none
 * @param fetchFailures what hindered the reads of the platform and the fetch most recently
 * @param reader whether this entry watches the platform
 * @param platformReachable whether the latest read of the platform succeeded
 * @param staleReads reads that gave an older revision than the newest one held
 * @param silentWatches watches that gave no answer in time
 * @param platformCalls calls of the platform so far
 */
public record ConfigView(
    ConfigVersion inForce,
    Optional<FileSet> fileSet,
    long inForceSinceNanos,
    ConfigVersion newest,
    List<Failure> rejection,
    ConfigVersion fetching,
    List<Failure> fetchFailures,
    boolean reader,
    boolean platformReachable,
    long staleReads,
    long silentWatches,
    long platformCalls) {
  public ConfigView {
    rejection = List.copyOf(rejection);
    fetchFailures = List.copyOf(fetchFailures);
  }
}
