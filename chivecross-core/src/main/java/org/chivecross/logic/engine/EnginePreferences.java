package org.chivecross.logic.engine;

/**
 * Settings of the engine of one entry. Immutable.
 *
 * @param entryId name of the entry, unique in the deployment
 * @param dataCentre data centre of the entry
 * @param targetCapacity most targets over all services
 * @param serviceCapacity most services; also the most tenants
 * @param concurrency requests in flight from which on tenants keep to their fair parts
 */
public record EnginePreferences(
    String entryId, String dataCentre, int targetCapacity, int serviceCapacity, int concurrency) {

  private static final int DEFAULT_TARGETS = 8192;
  private static final int DEFAULT_SERVICES = 1024;
  private static final int DEFAULT_CONCURRENCY = 4096;

  /** Returns preferences with capacities of three times the size to design for. */
  public static EnginePreferences of(String entryId, String dataCentre) {
    return new EnginePreferences(
        entryId, dataCentre, DEFAULT_TARGETS, DEFAULT_SERVICES, DEFAULT_CONCURRENCY);
  }
}
