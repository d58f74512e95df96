package org.chivecross.cli.load;

/**
 * End of one request.
 *
 * @param ticket the request
 * @param verdict what became of it
 * @param status HTTP status; 0 when no answer came
 * @param target target that answered; empty when none is known
 * @param latencyNanos time from the intended start to the end, in ns
 * @param sends times it was sent
 * @param intact whether the answer was its own and whole; true when no answer came
 */
record CallResult(
    RequestTicket ticket,
    Verdict verdict,
    int status,
    String target,
    long latencyNanos,
    int sends,
    boolean intact) {}
