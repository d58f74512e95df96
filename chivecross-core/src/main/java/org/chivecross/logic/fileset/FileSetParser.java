package org.chivecross.logic.fileset;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.FileSetProblem;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.Tenant;
import org.chivecross.model.manifest.Manifest;

/**
 * Parses and checks the files of a set; used by entries and by {@code chivecross-check}. Reads no
 * files: the contents are passed by file name. Returns either a complete checked set or only
 * problems. Immutable and safe for use by many threads.
 */
public final class FileSetParser {

  /** Name of the file with the settings of the deployment. */
  public static final String DEPLOYMENT_FILE = "deployment.yaml";

  /** Maximum number of files of a set. */
  public static final int MAX_FILES = Manifest.MAX_FILES;

  /** Maximum size of a set, in characters over all files. */
  public static final int MAX_SET_CHARACTERS = 8_000_000;

  private static final Pattern FILE_NAME =
      Pattern.compile(
          "deployment\\.yaml|(?:tenants|services|rules)/[a-z0-9][a-z0-9-]{0,62}\\.yaml");
  private static final String FILE_NAMES =
      "deployment.yaml, tenants/NAME.yaml, services/NAME.yaml, rules/NAME.yaml; NAME of a-z, 0-9"
          + " and -";
  private static final CrossFileCheck NAMES = new NameCheck();
  private static final CrossFileCheck RULES = new RuleCheck();
  private static final CrossFileCheck SIZES = new SizeCheck();
  private static final CrossFileCheck BUDGETS = new BudgetCheck();

  private final YamlTreeReader trees = new YamlTreeReader();

  /** Creates a parser. */
  public FileSetParser() {}

  /**
   * Parses and checks all files.
   *
   * @param contents content of each file by its path within the set
   * @return the set, or a failure for each problem found
   */
  public Result<FileSet> parse(Map<String, String> contents) {
    ProblemLog problems = new ProblemLog();
    Optional<FileSet> set = parse(contents, problems);
    return set.isPresent() ? Result.success(set.get()) : failed(problems);
  }

  /** Returns every problem of the files; empty when the set is valid. */
  public List<FileSetProblem> check(Map<String, String> contents) {
    ProblemLog problems = new ProblemLog();
    parse(contents, problems);
    return problems.problems();
  }

  /** Parses and checks all files, given as bytes that must be UTF-8. */
  public Result<FileSet> parseBytes(Map<String, byte[]> contents) {
    ProblemLog problems = new ProblemLog();
    Map<String, String> texts = decode(contents, problems);
    if (problems.isEmpty()) {
      return parse(texts);
    }
    return failed(problems);
  }

  /** Returns every problem of the files, given as bytes that must be UTF-8. */
  public List<FileSetProblem> checkBytes(Map<String, byte[]> contents) {
    ProblemLog problems = new ProblemLog();
    parse(decode(contents, problems), problems);
    return problems.problems();
  }

  private static Map<String, String> decode(Map<String, byte[]> contents, ProblemLog problems) {
    Map<String, String> texts = new TreeMap<>();
    for (Map.Entry<String, byte[]> file : new TreeMap<>(contents).entrySet()) {
      if (file.getValue().length > YamlTreeReader.MAX_FILE_BYTES) {
        YamlTreeReader.addTooLarge(Quoting.shorten(file.getKey()), problems);
        continue;
      }
      try {
        ByteBuffer bytes = ByteBuffer.wrap(file.getValue());
        texts.put(file.getKey(), StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
      } catch (CharacterCodingException e) {
        problems.addUnreadable(Quoting.shorten(file.getKey()), 0, "other bytes", "UTF-8 text");
      }
    }
    return texts;
  }

  private static Result<FileSet> failed(ProblemLog problems) {
    return new Result.Failed<>(
        problems.problems().stream().map(FileSetProblem::toFailure).toList());
  }

  private Optional<FileSet> parse(Map<String, String> contents, ProblemLog problems) {
    if (isTooLarge(contents, problems)) {
      return Optional.empty();
    }
    ParsedFileSet set = read(new TreeMap<>(contents), problems);
    if (!problems.hasUnreadableContent()) {
      NAMES.check(set, problems);
      RULES.check(set, problems);
      SIZES.check(set, problems);
    }
    if (problems.isEmpty()) {
      BUDGETS.check(set, problems);
    }
    return problems.isEmpty() ? Optional.of(set.toFileSet()) : Optional.empty();
  }

  private static boolean isTooLarge(Map<String, String> contents, ProblemLog problems) {
    long characters = contents.values().stream().mapToLong(String::length).sum();
    if (contents.size() <= MAX_FILES && characters <= MAX_SET_CHARACTERS) {
      return false;
    }
    problems.addUnreadable(
        DEPLOYMENT_FILE,
        0,
        contents.size() + " files of " + characters + " characters",
        "at most " + MAX_FILES + " files and " + MAX_SET_CHARACTERS + " characters");
    return true;
  }

  private ParsedFileSet read(Map<String, String> contents, ProblemLog problems) {
    Optional<ParsedFile<Deployment>> deployment = Optional.empty();
    List<ParsedFile<Tenant>> tenants = new ArrayList<>();
    List<ParsedFile<Service>> services = new ArrayList<>();
    List<ParsedFile<List<Rule>>> rules = new ArrayList<>();
    if (!contents.containsKey(DEPLOYMENT_FILE)) {
      problems.addUnreadable(DEPLOYMENT_FILE, 0, "no such file", "one file of this name");
    }
    if (contents.keySet().stream().noneMatch(file -> file.startsWith("services/"))) {
      problems.addUnreadable("services", 0, "no file", "at least one file");
    }
    NodeBudget budget = new NodeBudget();
    for (Map.Entry<String, String> entry : contents.entrySet()) {
      String file = entry.getKey();
      String content = entry.getValue();
      if (!FILE_NAME.matcher(file).matches()) {
        problems.add(Quoting.shorten(file), 0, "", "an unexpected file", FILE_NAMES);
      } else if (file.equals(DEPLOYMENT_FILE)) {
        deployment = read(file, content, budget, RecordReaders::deployment, problems);
      } else if (file.startsWith("tenants/")) {
        read(file, content, budget, RecordReaders::tenant, problems).ifPresent(tenants::add);
      } else if (file.startsWith("services/")) {
        read(file, content, budget, RecordReaders::service, problems).ifPresent(services::add);
      } else {
        read(file, content, budget, RecordReaders::ruleFile, problems).ifPresent(rules::add);
      }
    }
    return new ParsedFileSet(deployment, tenants, services, rules);
  }

  private <T> Optional<ParsedFile<T>> read(
      String file,
      String content,
      NodeBudget budget,
      Function<FieldReader, T> reader,
      ProblemLog problems) {
    Optional<YamlNode> root = trees.read(file, content, budget, problems);
    if (root.isEmpty()) {
      return Optional.empty();
    }
    if (!(root.get() instanceof YamlNode.Mapping mapping)) {
      problems.addUnreadable(file, root.get().line(), root.get().describe(), "a mapping of fields");
      return Optional.empty();
    }
    FieldReader fields = new FieldReader(file, mapping, "", problems);
    T value = reader.apply(fields);
    fields.refuseUnknownFields();
    return Optional.of(new ParsedFile<>(file, value, FieldPath.lines(mapping)));
  }
}
