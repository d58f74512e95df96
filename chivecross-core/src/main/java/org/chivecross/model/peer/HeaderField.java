package org.chivecross.model.peer;

/**
 * One HTTP header of a passed request or its answer.
 *
 * @param name name
 * @param value value
 */
public record HeaderField(String name, String value) {}
