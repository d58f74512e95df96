package org.chivecross.logic.fileset;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivecross.logic.fileset.YamlNode.ScalarKind;
import org.chivecross.model.manifest.Manifest;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.error.MarkedYAMLException;

/**
 * Reads one YAML document into a tree of nodes with line numbers. Refuses aliases, anchors of lists
 * and mappings, tags, repeated fields and further documents, so the size of the tree is bounded by
 * the size of the file. Immutable and safe for use by many threads.
 */
final class YamlTreeReader {

  /** Maximum size of a file, in bytes of UTF-8; the platform stores no larger values. */
  static final int MAX_FILE_BYTES = Manifest.MAX_VALUE_BYTES;

  private static final int MAX_DEPTH = 16;

  private final YAMLFactory factory;

  YamlTreeReader() {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_FILE_BYTES);
    options.setNestingDepthLimit(MAX_DEPTH);
    factory = YAMLFactory.builder().loaderOptions(options).build();
  }

  /**
   * Returns the tree; or adds the problems to {@code problems} and returns empty when the document
   * can't be read.
   *
   * @param budget remaining nodes that the set may have, shared by all its files
   */
  Optional<YamlNode> read(String file, String content, NodeBudget budget, ProblemLog problems) {
    if (content.length() > MAX_FILE_BYTES
        || content.getBytes(StandardCharsets.UTF_8).length > MAX_FILE_BYTES) {
      addTooLarge(file, problems);
      return Optional.empty();
    }
    try (YAMLParser parser = factory.createParser(content)) {
      if (parser.nextToken() == null) {
        problems.addUnreadable(file, 1, "an empty file", "one YAML mapping");
        return Optional.empty();
      }
      YamlNode root = new TreeBuilder(file, parser, budget, problems).node("");
      if (parser.nextToken() != null) {
        problems.addUnreadable(file, line(parser), "a second document", "one YAML document");
        return Optional.empty();
      }
      return Optional.of(root);
    } catch (NodeBudget.ExhaustedException e) {
      problems.addUnreadable(
          file, 0, "more values than a set may have", "at most " + NodeBudget.MAX_NODES);
      return Optional.empty();
    } catch (IOException e) {
      addSyntaxProblem(file, e, problems);
      return Optional.empty();
    }
  }

  static void addTooLarge(String file, ProblemLog problems) {
    problems.addUnreadable(
        file, 0, "a file over the limit", "at most " + MAX_FILE_BYTES + " bytes");
  }

  private static void addSyntaxProblem(String file, IOException error, ProblemLog problems) {
    if (error.getCause() instanceof MarkedYAMLException marked && marked.getProblemMark() != null) {
      problems.addUnreadable(
          file,
          marked.getProblemMark().getLine() + 1,
          "a YAML error (" + Quoting.shorten(String.valueOf(marked.getProblem())) + ")",
          "valid YAML");
      return;
    }
    problems.addUnreadable(
        file,
        1,
        "a YAML error (" + Quoting.shorten(String.valueOf(error.getMessage())) + ")",
        "valid YAML");
  }

  private static int line(YAMLParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  /** Builds the tree from the tokens of one file. Not thread-safe. */
  private record TreeBuilder(
      String file, YAMLParser parser, NodeBudget budget, ProblemLog problems) {

    YamlNode node(String path) throws IOException {
      budget.take();
      refuseAnchorAndTag(path);
      JsonToken token = parser.currentToken();
      if (token == JsonToken.START_OBJECT) {
        return mapping(path);
      }
      if (token == JsonToken.START_ARRAY) {
        return sequence(path);
      }
      return new YamlNode.Scalar(line(parser), kind(token), text());
    }

    private YamlNode mapping(String path) throws IOException {
      int line = line(parser);
      Map<String, YamlNode> fields = new LinkedHashMap<>();
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        int nameLine = line(parser);
        String fieldPath = FieldPath.field(path, name);
        parser.nextToken();
        YamlNode value = node(fieldPath);
        if (fields.putIfAbsent(name, value) != null) {
          problems.add(file, nameLine, fieldPath, "a repeated field", "each field once");
        }
      }
      return new YamlNode.Mapping(line, fields);
    }

    private YamlNode sequence(String path) throws IOException {
      int line = line(parser);
      List<YamlNode> items = new ArrayList<>();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        items.add(node(FieldPath.item(path, items.size())));
      }
      return new YamlNode.Sequence(line, items);
    }

    private void refuseAnchorAndTag(String path) throws IOException {
      if (parser.isCurrentAlias()) {
        problems.add(file, line(parser), path, "a YAML alias", "the value itself");
      }
      if (parser.getObjectId() != null) {
        problems.add(file, line(parser), path, "a YAML anchor", "values without anchors");
      }
      if (parser.getTypeId() != null) {
        problems.add(file, line(parser), path, "a YAML tag", "values without tags");
      }
    }

    private String text() throws IOException {
      String text = parser.getText();
      return text == null ? "" : text;
    }

    private static ScalarKind kind(JsonToken token) {
      return switch (token) {
        case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> ScalarKind.NUMBER;
        case VALUE_TRUE, VALUE_FALSE -> ScalarKind.BOOLEAN;
        case VALUE_NULL -> ScalarKind.NULL;
        default -> ScalarKind.TEXT;
      };
    }
  }
}
