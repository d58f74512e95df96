package org.chivecross.model.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Properties of a response head on which decisions depend.
 *
 * @param status HTTP status
 * @param notRun whether the target proved with {@code Chivecross-Not-Run} that it did not run the
 *     request
 * @param leaving whether the target announced that it is leaving
 * @param load load report that came with the answer
 * @param holdOffMillis time for which the target asked this entry to send it nothing, in ms
 * @param bodyBytes announced size of the body
 * @param requestLimit requests per second that the target takes from all entries together; empty if
 *     it names no limit
 */
public record ResponseHead(
    int status,
    boolean notRun,
    boolean leaving,
    Optional<LoadReport> load,
    OptionalLong holdOffMillis,
    OptionalLong bodyBytes,
    OptionalDouble requestLimit) {

  /** Creates the properties of a response whose target names no request limit. */
  public ResponseHead(
      int status,
      boolean notRun,
      boolean leaving,
      Optional<LoadReport> load,
      OptionalLong holdOffMillis,
      OptionalLong bodyBytes) {
    this(status, notRun, leaving, load, holdOffMillis, bodyBytes, OptionalDouble.empty());
  }

  /** Creates the properties of a response whose target asked for no hold-off. */
  public ResponseHead(int status, boolean notRun, boolean leaving, Optional<LoadReport> load) {
    this(status, notRun, leaving, load, OptionalLong.empty(), OptionalLong.empty());
  }

  /** Returns whether the target announced its shutdown, a hold-off or a request limit. */
  public boolean hasAnnouncement() {
    return leaving || holdOffMillis.isPresent() || requestLimit.isPresent();
  }
}
