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
 * @param warmUpMillis time until the target is warm, in ms; empty if the response does not say
 */
public record ResponseHead(
    int status,
    boolean notRun,
    boolean leaving,
    Optional<LoadReport> load,
    OptionalLong holdOffMillis,
    OptionalLong bodyBytes,
    OptionalDouble requestLimit,
    OptionalLong warmUpMillis) {

  /** Creates the properties of a response whose target names no request limit. */
  public ResponseHead(
      int status,
      boolean notRun,
      boolean leaving,
      Optional<LoadReport> load,
      OptionalLong holdOffMillis,
      OptionalLong bodyBytes) {
    this(
        status,
        notRun,
        leaving,
        load,
        holdOffMillis,
        bodyBytes,
        OptionalDouble.empty(),
        OptionalLong.empty());
  }

  /** Creates the properties of a response whose target asked for no hold-off. */
  public ResponseHead(int status, boolean notRun, boolean leaving, Optional<LoadReport> load) {
    this(status, notRun, leaving, load, OptionalLong.empty(), OptionalLong.empty());
  }

  /** Creates the properties of a response that says nothing about a warm-up. */
  public ResponseHead(
      int status,
      boolean notRun,
      boolean leaving,
      Optional<LoadReport> load,
      OptionalLong holdOffMillis,
      OptionalLong bodyBytes,
      OptionalDouble requestLimit) {
    this(
        status,
        notRun,
        leaving,
        load,
        holdOffMillis,
        bodyBytes,
        requestLimit,
        OptionalLong.empty());
  }

  /** Returns whether the target announced its shutdown, a hold-off, a limit or a warm-up. */
  public boolean hasAnnouncement() {
    return leaving
        || holdOffMillis.isPresent()
        || requestLimit.isPresent()
        || warmUpMillis.isPresent();
  }
}
