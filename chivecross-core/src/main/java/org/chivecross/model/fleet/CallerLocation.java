package org.chivecross.model.fleet;

/**
 * Where a caller runs, as its directory request says. Immutable.
 *
 * @param dataCentre data centre of the caller; empty if the request doesn't name it
 * @param region region of that data centre; empty if the request doesn't name it
 */
public record CallerLocation(String dataCentre, String region) {}
