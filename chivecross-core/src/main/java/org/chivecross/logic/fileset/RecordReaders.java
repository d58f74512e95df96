package org.chivecross.logic.fileset;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.chivecross.model.fileset.ClassPolicy;
import org.chivecross.model.fileset.DataCentreLink;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;

/** Reads the record of each kind of file and checks the bounds of its fields. Stateless. */
final class RecordReaders {

  private static final int MAX_ENTRY_BOUND = 10_000;
  private static final int MAX_DATA_CENTRES = 64;
  private static final int MAX_LINKS = MAX_DATA_CENTRES * MAX_DATA_CENTRES;
  private static final int MAX_ROUND_TRIP_MICROS = 1_000_000;
  private static final int MIN_LIFETIME_MILLIS = 100;
  private static final int MAX_LIFETIME_MILLIS = 3_600_000;
  private static final int MAX_KEY_WINDOW_MILLIS = 86_400_000;
  private static final int MAX_DEADLINE_MILLIS = 3_600_000;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_LIMIT = 100_000_000;
  private static final int MAX_QUEUE_PER_TARGET = 10_000;
  private static final int MAX_SLOTS = 100_000;
  private static final int MAX_CONNECTIONS = 1_000_000;
  private static final int MAX_TARGET_GROUPS = 256;
  private static final int MAX_ADDRESSES = 4_096;
  private static final int MAX_METHODS = 7;
  private static final int MAX_RULES = 4_096;
  private static final TextFormat METHOD =
      new TextFormat(
          Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"),
          "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
  private static final Map<String, RequestClass> CLASSES = classes();

  private RecordReaders() {}

  static Deployment deployment(FieldReader reader) {
    return new Deployment(
        reader.text("name", TextFormat.NAME),
        reader.integer("entryBound", 1, MAX_ENTRY_BOUND),
        reader.integer("directoryLifetimeMillis", MIN_LIFETIME_MILLIS, MAX_LIFETIME_MILLIS),
        reader.integer("keyWindowMillis", MIN_LIFETIME_MILLIS, MAX_KEY_WINDOW_MILLIS),
        reader.texts("dataCentres", MAX_DATA_CENTRES, TextFormat.NAME),
        reader.fieldNames().contains("links")
            ? reader.mappings("links", MAX_LINKS, RecordReaders::link)
            : List.of());
  }

  static Tenant tenant(FieldReader reader) {
    return new Tenant(
        reader.text("name", TextFormat.NAME),
        reader.integer("weight", 1, MAX_WEIGHT),
        limits(reader));
  }

  static Service service(FieldReader reader) {
    return new Service(
        reader.text("name", TextFormat.NAME),
        reader.text("owner", TextFormat.NAME),
        reader.decimal("probeBudget", "0", "0.2"),
        reader.decimal("probeMillis", "0.001", "60000"),
        reader.integer("queuePerTarget", 0, MAX_QUEUE_PER_TARGET),
        limits(reader),
        reader.mapping("classes", RecordReaders::policies).orElse(Map.of()),
        reader.mappings("targets", MAX_TARGET_GROUPS, RecordReaders::targetGroup));
  }

  static List<Rule> ruleFile(FieldReader reader) {
    return reader.mappings("rules", MAX_RULES, RecordReaders::rule);
  }

  private static DataCentreLink link(FieldReader reader) {
    return new DataCentreLink(
        reader.text("from", TextFormat.NAME),
        reader.text("to", TextFormat.NAME),
        reader.integer("roundTripMicros", 1, MAX_ROUND_TRIP_MICROS));
  }

  private static Limits limits(FieldReader reader) {
    return reader
        .mapping(
            "limits",
            limits ->
                new Limits(
                    limits.integer("concurrency", 1, MAX_LIMIT),
                    limits.integer("ratePerSecond", 1, MAX_LIMIT),
                    limits.integer("burst", 1, MAX_LIMIT)))
        .orElseGet(() -> new Limits(1, 1, 1));
  }

  private static Map<RequestClass, ClassPolicy> policies(FieldReader reader) {
    Map<RequestClass, ClassPolicy> policies = new EnumMap<>(RequestClass.class);
    boolean noKnownClass = reader.fieldNames().stream().noneMatch(CLASSES::containsKey);
    for (Map.Entry<String, RequestClass> entry : CLASSES.entrySet()) {
      if (noKnownClass || reader.fieldNames().contains(entry.getKey())) {
        reader
            .mapping(entry.getKey(), RecordReaders::policy)
            .ifPresent(policy -> policies.put(entry.getValue(), policy));
      }
    }
    return policies;
  }

  private static ClassPolicy policy(FieldReader reader) {
    return new ClassPolicy(
        reader.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS),
        reader.decimal("retryFraction", "0", "1"),
        reader.decimal("hedgeFraction", "0", "1"));
  }

  private static TargetGroup targetGroup(FieldReader reader) {
    return new TargetGroup(
        reader.text("dataCentre", TextFormat.NAME),
        reader.integer("slots", 1, MAX_SLOTS),
        reader.integer("connections", 1, MAX_CONNECTIONS),
        reader.texts("addresses", MAX_ADDRESSES, TextFormat.ADDRESS));
  }

  private static Rule rule(FieldReader reader) {
    return new Rule(
        reader.text("host", TextFormat.HOST),
        reader.text("pathPrefix", TextFormat.PATH),
        Set.copyOf(reader.texts("methods", MAX_METHODS, METHOD)),
        reader.text("service", TextFormat.NAME),
        reader.choice("requestClass", CLASSES).orElse(RequestClass.WRITE));
  }

  private static Map<String, RequestClass> classes() {
    Map<String, RequestClass> classes = new LinkedHashMap<>();
    for (RequestClass requestClass : RequestClass.values()) {
      classes.put(requestClass.name().toLowerCase(Locale.ROOT), requestClass);
    }
    return classes;
  }
}
