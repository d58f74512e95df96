package org.chivecross.cli.entry.admin;

/**
 * Answer of the administration API. Immutable as long as the body is not changed.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body whole body
 */
record AdminAnswer(int status, String contentType, byte[] body) {}
