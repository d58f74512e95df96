package org.chivecross.logic.config;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * Snapshot of the configuration at one entry. Immutable and safe for use by many threads.
 *
 * @param inForce version in force
 * @param fileSet file set in force
 * @param inForceSinceNanos monotonic time since which it is in force
 * @param newest highest version held, in force or rejected
 * @param rejection why the newest version was rejected; empty when it is in force
 * @param fetching version that is being fetched, {@link ConfigVersion#NONE} for none
 * @param fetchFailures most recent failures of platform reads and of the fetch
 * @param isReader whether this entry watches the platform
 * @param platformReachable whether the latest read of the platform succeeded
 * @param staleReads number of platform reads that returned an older version than the newest one
 *     held
 * @param silentWatches number of watches that were not answered in time
 * @param platformCalls number of platform calls so far
 */
public record ConfigView(
    ConfigVersion inForce,
    Optional<FileSet> fileSet,
    long inForceSinceNanos,
    ConfigVersion newest,
    List<Failure> rejection,
    ConfigVersion fetching,
    List<Failure> fetchFailures,
    boolean isReader,
    boolean platformReachable,
    long staleReads,
    long silentWatches,
    long platformCalls) {
  public ConfigView {
    rejection = List.copyOf(rejection);
    fetchFailures = List.copyOf(fetchFailures);
  }
}
