package org.chivecross.logic.config;

import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * A complete file set with the result of its check. Immutable; byte arrays must not be changed.
 *
 * @param version version of the set
 * @param manifestJson manifest as published
 * @param contents content of each file by its digest; empty when the manifest was rejected
 * @param checkResult the file set, or the problems for which it was rejected
 */
record StoredFileSet(
    ConfigVersion version,
    byte[] manifestJson,
    Map<String, byte[]> contents,
    Result<FileSet> checkResult) {}
