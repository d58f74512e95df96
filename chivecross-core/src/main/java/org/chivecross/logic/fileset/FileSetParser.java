package org.chivecross.logic.fileset;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.Tenant;

/**
 * Parses the files of a set. Pure: it gets the contents by file name. Immutable and safe for use by
 * many threads.
 */
public final class FileSetParser {

  /** Name of the file with the settings of the deployment. */
  public static final String DEPLOYMENT_FILE = "deployment.yaml";

  private final JsonMapper mapper;

  /** Creates a parser. */
  public FileSetParser() {
    mapper =
        JsonMapper.builder(
                YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build())
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();
    mapper
        .configOverride(RuleFile.class)
        .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.OBJECT));
  }

  /**
   * Content of a file of rules.
   *
   * @param rules rules in the file
   */
  record RuleFile(List<Rule> rules) {}

  /** Parses all files; every failure found is returned, not only the first. */
  public Result<FileSet> parse(Map<String, String> contents) {
    List<Failure> failures = new ArrayList<>();
    Optional<Deployment> deployment = Optional.empty();
    List<Tenant> tenants = new ArrayList<>();
    List<Service> services = new ArrayList<>();
    List<Rule> rules = new ArrayList<>();
    for (Map.Entry<String, String> file : new TreeMap<>(contents).entrySet()) {
      String name = file.getKey();
      if (name.equals(DEPLOYMENT_FILE)) {
        deployment = read(name, file.getValue(), Deployment.class, failures);
      } else if (name.startsWith("tenants/")) {
        read(name, file.getValue(), Tenant.class, failures).ifPresent(tenants::add);
      } else if (name.startsWith("services/")) {
        read(name, file.getValue(), Service.class, failures).ifPresent(services::add);
      } else if (name.startsWith("rules/")) {
        read(name, file.getValue(), RuleFile.class, failures)
            .ifPresent(ruleFile -> rules.addAll(ruleFile.rules()));
      } else {
        failures.add(new Failure(Step.FILE_SET, name, "unexpected file"));
      }
    }
    if (deployment.isEmpty() && failures.isEmpty()) {
      failures.add(new Failure(Step.FILE_SET, DEPLOYMENT_FILE, "file is missing"));
    }
    if (!failures.isEmpty()) {
      return new Result.Failed<>(failures);
    }
    return Result.success(new FileSet(deployment.orElseThrow(), tenants, services, rules));
  }

  private <T> Optional<T> read(String name, String content, Class<T> type, List<Failure> failures) {
    try {
      return Optional.of(mapper.readValue(content, type));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      failures.add(
          new Failure(Step.FILE_SET, name, "line " + line + ": " + e.getOriginalMessage()));
      return Optional.empty();
    }
  }
}
