package org.chivecross.model.fileset;

/**
 * An organisation that owns services.
 *
 * @param name unique name
 * @param weight share of contended capacity relative to the other tenants
 * @param limits limits over all services of the tenant
 */
public record Tenant(String name, int weight, Limits limits) {}
