package org.chivecross.model.fleet;

import java.util.List;
import java.util.OptionalLong;

/**
 * What entries know of a request under which targets ended. Immutable.
 *
 * @param fingerprint hash of the content of the request, the same for each of its attempts
 * @param ended runs of targets that ended while they ran it, since it last completed
 * @param endAgeMillis time since the last of these ends, in ms
 * @param completedAgeMillis time since a target last completed it, in ms; empty if that is unknown
 */
public record SuspectRequest(
    long fingerprint,
    List<TargetIncarnation> ended,
    long endAgeMillis,
    OptionalLong completedAgeMillis) {

  public SuspectRequest {
    ended = List.copyOf(ended);
  }
}
