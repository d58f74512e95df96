package org.chivecross.logic.fileset;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.chivecross.logic.fileset.YamlNode.ScalarKind;

/**
 * Reads the fields of one mapping. An invalid field adds a problem and yields a placeholder value,
 * so that the remaining fields are checked too; the values are usable only when no problem was
 * added. {@link #refuseUnknownFields} refuses the fields that were not read. Not thread-safe.
 */
final class FieldReader {

  private static final Pattern INTEGER = Pattern.compile("-?(?:0|[1-9][0-9]{0,17})");
  private static final Pattern DECIMAL =
      Pattern.compile("-?(?:0|[1-9][0-9]{0,11})(?:\\.[0-9]{1,12})?");

  private final String fileName;
  private final YamlNode.Mapping mapping;
  private final String path;
  private final ProblemLog problems;
  private final Set<String> namesRead = new LinkedHashSet<>();

  /** Creates a reader of the mapping at {@code path} of a file. */
  FieldReader(String file, YamlNode.Mapping mapping, String path, ProblemLog problems) {
    this.fileName = file;
    this.mapping = mapping;
    this.path = path;
    this.problems = problems;
  }

  /** Reads a text; "" when it is missing or invalid. */
  String text(String name, TextFormat format) {
    return node(name, format.allowedDescription())
        .flatMap(node -> text(node, FieldPath.field(path, name), format))
        .orElse("");
  }

  /** Reads an integer from {@code min} to {@code max}; {@code min} when missing or invalid. */
  int integer(String name, int min, int max) {
    String allowed = "a whole number from " + min + " to " + max;
    Optional<YamlNode> node = node(name, allowed);
    if (node.isEmpty()) {
      return min;
    }
    if (node.get() instanceof YamlNode.Scalar scalar
        && scalar.kind() == ScalarKind.NUMBER
        && INTEGER.matcher(scalar.text()).matches()) {
      long value = Long.parseLong(scalar.text());
      if (value >= min && value <= max) {
        return (int) value;
      }
    }
    addProblem(node.get(), FieldPath.field(path, name), allowed);
    return min;
  }

  /** Reads a decimal from {@code min} to {@code max}; {@code min} when missing or invalid. */
  double decimal(String name, String min, String max) {
    String allowed = "a number from " + min + " to " + max;
    BigDecimal low = new BigDecimal(min);
    Optional<YamlNode> node = node(name, allowed);
    if (node.isEmpty()) {
      return low.doubleValue();
    }
    if (node.get() instanceof YamlNode.Scalar scalar
        && scalar.kind() == ScalarKind.NUMBER
        && DECIMAL.matcher(scalar.text()).matches()) {
      BigDecimal value = new BigDecimal(scalar.text());
      if (value.compareTo(low) >= 0 && value.compareTo(new BigDecimal(max)) <= 0) {
        return value.doubleValue();
      }
    }
    addProblem(node.get(), FieldPath.field(path, name), allowed);
    return low.doubleValue();
  }

  /** Reads one of the given words; empty when it is missing or invalid. */
  <T> Optional<T> choice(String name, Map<String, T> choices) {
    String allowed = "one of " + String.join(", ", choices.keySet());
    Optional<YamlNode> node = node(name, allowed);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    if (node.get() instanceof YamlNode.Scalar scalar && choices.containsKey(scalar.text())) {
      return Optional.of(choices.get(scalar.text()));
    }
    addProblem(node.get(), FieldPath.field(path, name), allowed);
    return Optional.empty();
  }

  /** Reads a nested mapping; empty when it is missing or not a mapping. */
  <T> Optional<T> mapping(String name, Function<FieldReader, T> nested) {
    return node(name, "a mapping")
        .flatMap(node -> mapping(node, FieldPath.field(path, name), nested));
  }

  /** Reads a list of 1 to {@code maxItems} mappings; omits the items that are not mappings. */
  <T> List<T> mappings(String name, int maxItems, Function<FieldReader, T> nested) {
    return list(name, maxItems, (node, itemPath) -> mapping(node, itemPath, nested));
  }

  /** Reads a list of 1 to {@code maxItems} texts; an invalid item is returned as "". */
  List<String> texts(String name, int maxItems, TextFormat format) {
    return list(
        name, maxItems, (node, itemPath) -> text(node, itemPath, format).or(() -> Optional.of("")));
  }

  /** Returns the names of all fields of the mapping. */
  Set<String> fieldNames() {
    return mapping.fields().keySet();
  }

  /** Refuses all fields that were not read. */
  void refuseUnknownFields() {
    for (Map.Entry<String, YamlNode> field : mapping.fields().entrySet()) {
      if (!namesRead.contains(field.getKey())) {
        problems.add(
            fileName,
            field.getValue().line(),
            FieldPath.field(path, field.getKey()),
            "an unknown field",
            String.join(", ", namesRead));
      }
    }
  }

  private Optional<YamlNode> node(String name, String allowed) {
    namesRead.add(name);
    YamlNode node = mapping.fields().get(name);
    if (node == null) {
      problems.add(fileName, mapping.line(), FieldPath.field(path, name), "no such field", allowed);
    }
    return Optional.ofNullable(node);
  }

  private Optional<String> text(YamlNode node, String nodePath, TextFormat format) {
    if (node instanceof YamlNode.Scalar scalar
        && scalar.kind() == ScalarKind.TEXT
        && format.matches(scalar.text())) {
      return Optional.of(scalar.text());
    }
    addProblem(node, nodePath, format.allowedDescription());
    return Optional.empty();
  }

  private <T> Optional<T> mapping(YamlNode node, String nodePath, Function<FieldReader, T> nested) {
    if (!(node instanceof YamlNode.Mapping inner)) {
      addProblem(node, nodePath, "a mapping");
      problems.markUnreadable();
      return Optional.empty();
    }
    FieldReader reader = new FieldReader(fileName, inner, nodePath, problems);
    T value = nested.apply(reader);
    reader.refuseUnknownFields();
    return Optional.of(value);
  }

  private <T> List<T> list(String name, int maxItems, ItemReader<T> items) {
    String allowed = "a list of 1 to " + maxItems + " items";
    List<T> values = new ArrayList<>();
    Optional<YamlNode> node = node(name, allowed);
    if (node.isEmpty()) {
      return values;
    }
    String listPath = FieldPath.field(path, name);
    if (!(node.get() instanceof YamlNode.Sequence sequence)
        || sequence.items().isEmpty()
        || sequence.items().size() > maxItems) {
      addProblem(node.get(), listPath, allowed);
      return values;
    }
    for (int i = 0; i < sequence.items().size(); i++) {
      items.read(sequence.items().get(i), FieldPath.item(listPath, i)).ifPresent(values::add);
    }
    return values;
  }

  private void addProblem(YamlNode node, String nodePath, String allowed) {
    problems.add(fileName, node.line(), nodePath, node.describe(), allowed);
  }

  /** Reads one item of a list. */
  @FunctionalInterface
  private interface ItemReader<T> {
    Optional<T> read(YamlNode node, String path);
  }
}
