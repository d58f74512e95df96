package org.chivecross.model.request;

/**
 * Load as a target reports it in the {@code Chivecross-Load} header.
 *
 * @param inService requests in service
 * @param queued requests waiting for a slot
 * @param slots requests it serves at once
 */
public record LoadReport(int inService, int queued, int slots) {}
