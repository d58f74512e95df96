package org.chivecross.logic.config;

import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.manifest.ConfigVersion;

/**
 * A set that this entry holds whole, with its verdict. Immutable; byte arrays must not be changed.
 *
 * @param version version
 * @param manifestJson manifest as published
 * @param contents content of each file by its digest; empty when the manifest was refused
 * @param verdict outcome of the check
 */
record HeldSet(
    ConfigVersion version,
    byte[] manifestJson,
    Map<String, byte[]> contents,
    Result<FileSet> verdict) {}
