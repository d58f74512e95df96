package org.chivecross.logic.fileset;

import java.util.List;
import java.util.Optional;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.Tenant;

/**
 * All parsed files of a set, before the cross-file checks.
 *
 * @param deployment settings of the deployment; empty when the file is missing or unparseable
 * @param tenants one file for each tenant
 * @param services one file for each service
 * @param rules files of rules
 */
record ParsedFileSet(
    Optional<ParsedFile<Deployment>> deployment,
    List<ParsedFile<Tenant>> tenants,
    List<ParsedFile<Service>> services,
    List<ParsedFile<List<Rule>>> rules) {

  /** Returns the checked set; must be called only when no problem was found. */
  FileSet toFileSet() {
    return new FileSet(
        deployment.orElseThrow().value(),
        tenants.stream().map(ParsedFile::value).toList(),
        services.stream().map(ParsedFile::value).toList(),
        rules.stream().flatMap(file -> file.value().stream()).toList());
  }
}
