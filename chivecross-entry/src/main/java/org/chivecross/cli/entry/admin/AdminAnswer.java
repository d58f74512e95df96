package org.chivecross.cli.entry.admin;

/**
 * Answer of the administration API. Immutable as long as nobody modifies the body.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body complete body
 */
record AdminAnswer(int status, String contentType, byte[] body) {}
