package org.chivecross.cli.load;

/**
 * End of one request.
 *
 * @param request the request
 * @param verdict what became of it
 * @param status HTTP status; 0 when no answer came
 * @param target target that answered; empty when none is known
 * @param latencyNanos time from the intended start to the end, in ns
 * @param attempts times it was sent
 * @param isIntact whether the answer was its own and whole; true when no answer came
 */
record CallResult(
    PlannedRequest request,
    Verdict verdict,
    int status,
    String target,
    long latencyNanos,
    int attempts,
    boolean isIntact) {}
