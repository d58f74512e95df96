package org.chivecross.cli.load;

/**
 * Result of one request after its last attempt. Immutable.
 *
 * @param request the request
 * @param verdict outcome of the request
 * @param status HTTP status; 0 if no response was received
 * @param target address of the target that responded; empty if unknown
 * @param latencyNanos time from the intended start to the end of the last attempt, in ns
 * @param attempts number of times that the request was sent
 * @param isIntact whether the response body is complete and belongs to this request; true if no
 *     response was received
 */
record CallResult(
    PlannedRequest request,
    Verdict verdict,
    int status,
    String target,
    long latencyNanos,
    int attempts,
    boolean isIntact) {}
