package org.chivecross.model.manifest;

/**
 * One file of a file set. Immutable.
 *
 * @param name relative path of the file, for example {@code services/slot-board.yaml}
 * @param key key of the platform value that holds its content
 * @param sha256 SHA-256 digest of the content, 64 lower-case hexadecimal digits
 * @param bytes size of the content in bytes
 */
public record ManifestFile(String name, String key, String sha256, int bytes) {}
