package org.chivecross.model.peer;

/**
 * One HTTP header of a request that is forwarded to a key's owner, or of the answer.
 *
 * @param name name
 * @param value value
 */
public record HeaderField(String name, String value) {}
