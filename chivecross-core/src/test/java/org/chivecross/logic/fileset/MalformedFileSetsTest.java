package org.chivecross.logic.fileset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSetProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against malformed sets that are accepted or refused with a wrong place or message. */
class MalformedFileSetsTest {

  private static final String LEDGER_SERVICE_FILE = "services/scale-house-ledger.yaml";

  private final FileSetParser parser = new FileSetParser();

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          deployment.yaml | entryBound: 20 | entryBond: 20 | deployment.yaml: line 2: entryBound: found no such field, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: 0 | deployment.yaml: line 3: entryBound: found number 0, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: "20" | deployment.yaml: line 3: entryBound: found "20", allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: 0x14 | deployment.yaml: line 3: entryBound: found number 0x14, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: 99999999999999999999 | deployment.yaml: line 3: entryBound: found number 99999999999999999999, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: | deployment.yaml: line 3: entryBound: found nothing, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | entryBound: [20] | deployment.yaml: line 3: entryBound: found a list of 1, allowed: a whole number from 1 to 10000
          deployment.yaml | entryBound: 20 | 'entryBound: 20\\nentryBound: 21' | deployment.yaml: line 4: entryBound: found a repeated field, allowed: each field once
          deployment.yaml | entryBound: 20 | 'entryBound: 20\\ncolour: red' | deployment.yaml: line 4: colour: found an unknown field, allowed: name, entryBound, directoryLifetimeMillis, keyWindowMillis, dataCentres, links
          deployment.yaml | dataCentres: [ | dataCentres: &all [ | deployment.yaml: line 6: dataCentres: found a YAML anchor, allowed: values without anchors
          deployment.yaml | name: pulpwood | name: !!str pulpwood | deployment.yaml: line 2: name: found a YAML tag, allowed: values without tags
          deployment.yaml | name: pulpwood | name: true | deployment.yaml: line 2: name: found boolean true, allowed: a name of a-z, 0-9 and -, at most 63 long, starting with a-z
          deployment.yaml | name: pulpwood | name: Pulp Wood | deployment.yaml: line 2: name: found "Pulp Wood", allowed: a name of a-z, 0-9 and -, at most 63 long, starting with a-z
          deployment.yaml | dataCentres: [dc1, dc2, dc3] | dataCentres: [] | deployment.yaml: line 6: dataCentres: found a list of 0, allowed: a list of 1 to 64 items
          deployment.yaml | [dc1, dc2, dc3] | [dc1, dc2, dc3, dc1] | deployment.yaml: line 6: dataCentres[3]: found dc1 again, allowed: each data centre once
          deployment.yaml | from: dc2, to: dc3 | from: dc3, to: dc1 | deployment.yaml: line 10: links[2]: found a link from dc3 to dc1, allowed: one link for each pair of data centres
          deployment.yaml | from: dc2, to: dc3 | from: dc2, to: dc9 | deployment.yaml: line 10: links[2].to: found "dc9", allowed: dc1, dc2, dc3
          deployment.yaml | keyWindowMillis: 600000 | keyWindowMillis: 6000 | deployment.yaml: line 5: keyWindowMillis: found 6000, allowed: at least 10000, the directoryLifetimeMillis and the write deadline of scale-house-ledger
          deployment.yaml | dataCentres: [dc1 | dataCentres: [dc1] dc1 | deployment.yaml: line 6: found a YAML error (expected <block end>, but found '<scalar>'), allowed: valid YAML
          tenants/dispatch.yaml | weight: 4 | weight: 4.5 | tenants/dispatch.yaml: line 3: weight: found number 4.5, allowed: a whole number from 1 to 1000
          tenants/dispatch.yaml | concurrency: 2000 | concurrency: 1999 | services/slot-board.yaml: line 8: limits.concurrency: found 2000, allowed: at most 1999, the limit of dispatch
          tenants/dispatch.yaml | name: dispatch | name: woodlots | tenants/woodlots.yaml: line 2: name: found tenant woodlots again, allowed: each tenant once (first in tenants/dispatch.yaml)
          services/scale-house-ledger.yaml | owner: scale-house | owner: clerks | services/scale-house-ledger.yaml: line 3: owner: found "clerks", allowed: dispatch, scale-house, woodlots
          services/scale-house-ledger.yaml | owner: scale-house | owner: [scale-house, dispatch] | services/scale-house-ledger.yaml: line 3: owner: found a list of 2, allowed: a name of a-z, 0-9 and -, at most 63 long, starting with a-z
          services/scale-house-ledger.yaml | name: scale-house-ledger | name: slot-board | services/slot-board.yaml: line 2: name: found service slot-board again, allowed: each service once (first in services/scale-house-ledger.yaml)
          services/scale-house-ledger.yaml | deadlineMillis: 5000 | deadlineMillis: 0 | services/scale-house-ledger.yaml: line 17: classes.write.deadlineMillis: found number 0, allowed: a whole number from 1 to 3600000
          services/scale-house-ledger.yaml | hedgeFraction: 0\\n | hedgeFraction: 0.5\\n | services/scale-house-ledger.yaml: line 19: classes.write.hedgeFraction: found 0.5, allowed: 0, since only a read may be sent twice
          services/scale-house-ledger.yaml | probeBudget: 0.02 | probeBudget: 0.0001 | services/scale-house-ledger.yaml: line 4: probeBudget: found 1.0E-4, allowed: 0 for no probes, or at least 0.000500: a probe costs 6.0 ms and each of 20 entries must be able to probe a target of 4 slots once in 60 s
          services/scale-house-ledger.yaml | probeBudget: 0.02 | probeBudget: 2% | services/scale-house-ledger.yaml: line 4: probeBudget: found "2%", allowed: a number from 0 to 0.2
          services/scale-house-ledger.yaml | probeBudget: 0.02 | probeBudget: .nan | services/scale-house-ledger.yaml: line 4: probeBudget: found number .nan, allowed: a number from 0 to 0.2
          services/scale-house-ledger.yaml | connections: 300 | connections: 19 | services/scale-house-ledger.yaml: line 23: targets[0].connections: found 19, allowed: at least the entryBound of 20, so that each entry has 1
          services/scale-house-ledger.yaml | dataCentre: dc1 | dataCentre: dc4 | services/scale-house-ledger.yaml: line 21: targets[0].dataCentre: found "dc4", allowed: dc1, dc2, dc3
          services/scale-house-ledger.yaml | 127.20.2.1:8080 | 127.20.2.4:8080 | services/scale-house-ledger.yaml: line 32: targets[1].addresses[0]: found 127.20.2.4:8080 again, allowed: each address once (first at services/scale-house-ledger.yaml targets[0].addresses[0])
          services/scale-house-ledger.yaml | 127.20.2.1:8080 | 127.20.2.256:8080 | services/scale-house-ledger.yaml: line 25: targets[0].addresses[0]: found "127.20.2.256:8080", allowed: an IPv4 number and a port from 1 to 65535, such as 10.0.0.1:8080
          services/scale-house-ledger.yaml | 127.20.2.1:8080 | ledger.example:8080 | services/scale-house-ledger.yaml: line 25: targets[0].addresses[0]: found "ledger.example:8080", allowed: an IPv4 number and a port from 1 to 65535, such as 10.0.0.1:8080
          rules/scale-house.yaml | service: scale-house-ledger | service: ledger | rules/scale-house.yaml: line 6: rules[0].service: found "ledger", allowed: scale-house-ledger, slot-board, woodlot-records
          rules/scale-house.yaml | requestClass: write | requestClass: upload | rules/scale-house.yaml: line 12: rules[1].requestClass: found upload, allowed: a class of service scale-house-ledger: read, write
          rules/scale-house.yaml | requestClass: write | requestClass: Write | rules/scale-house.yaml: line 12: rules[1].requestClass: found "Write", allowed: one of read, write, upload
          rules/scale-house.yaml | requestClass: write | requestClass: read | rules/scale-house.yaml: line 12: rules[1].requestClass: found read for POST, allowed: write or upload, since POST is not idempotent and a read may run again
          rules/scale-house.yaml | methods: [POST] | methods: [POST, GET] | rules/scale-house.yaml: line 8: rules[1]: found a second rule for GET */confirmations, allowed: one rule for each host, path prefix and method (first in rules/scale-house.yaml line 3)
          rules/scale-house.yaml | methods: [POST] | methods: [post] | rules/scale-house.yaml: line 10: rules[1].methods[0]: found "post", allowed: one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS
          rules/scale-house.yaml | pathPrefix: /confirmations | pathPrefix: /confirmations/../slots | rules/scale-house.yaml: line 4: rules[0].pathPrefix: found "/confirmations/../slots", allowed: a path such as /slots, of segments of A-Z, a-z, 0-9, '.', '_', '~' and '-', without a closing /
          rules/scale-house.yaml | host: "*" | host: Ledger.example | rules/scale-house.yaml: line 3: rules[0].host: found "Ledger.example", allowed: a host name in lower case without port, or "*"
          """)
  void reportsTheExpectedProblemFirstAndRefusesTheSet(
      String file, String text, String replacement, String expected) throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    String given = contents.getOrDefault(file, "");
    String old = unescape(text);
    assertTrue(given.contains(old), file + " holds no " + text);
    int at = given.indexOf(old);
    String value = replacement == null ? "" : unescape(replacement);
    contents.put(file, given.substring(0, at) + value + given.substring(at + old.length()));
    List<String> found = messages(contents);
    assertEquals(expected, found.get(0));
    assertInstanceOf(Result.Failed.class, parser.parse(contents));
  }

  private static String unescape(String text) {
    return text.replace("\\n", "\n");
  }

  @Test
  void refusesMissingUnexpectedAndEmptyFiles() throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    contents.remove("deployment.yaml");
    contents.put("readme.txt", "notes");
    contents.put("rules/empty.yaml", "");
    contents.put("rules/list.yaml", "- rules");
    contents.put("rules/two.yaml", contents.get("rules/dispatch.yaml") + "---\nrules: []\n");
    assertEquals(
        List.of(
            "deployment.yaml: found no such file, allowed: one file of this name",
            "readme.txt: found an unexpected file, allowed: deployment.yaml, tenants/NAME.yaml,"
                + " services/NAME.yaml, rules/NAME.yaml; NAME of a-z, 0-9 and -",
            "rules/empty.yaml: line 1: found an empty file, allowed: one YAML mapping",
            "rules/list.yaml: line 1: found a list of 1, allowed: a mapping of fields",
            "rules/two.yaml: line 14: found a second document, allowed: one YAML document"),
        messages(contents));
  }

  @Test
  void refusesOversizedFileAndDeepNesting() throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    contents.put("rules/big.yaml", "#".repeat(1_000_001));
    contents.put("rules/deep.yaml", "rules: " + "[".repeat(100_000));
    List<String> found = messages(contents);
    assertEquals(
        "rules/big.yaml: found a file over the limit, allowed: at most 1000000 bytes",
        found.get(0));
    assertTrue(found.get(1).startsWith("rules/deep.yaml: "), found.get(1));
  }

  @Test
  void nodesAndProblemsOfHugeSetsAreBounded() throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    contents.put("rules/many.yaml", "rules: [" + "a,".repeat(250_000) + "a]");
    assertEquals(
        "rules/many.yaml: found more values than a set may have, allowed: at most 200000",
        messages(contents).get(0));
    contents.put("rules/many.yaml", "rules: [" + "a,".repeat(4_000) + "a]");
    assertEquals(ProblemLog.MAX_PROBLEMS + 1, messages(contents).size());
  }

  @Test
  void aliasesAreNotExpanded() throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    contents.put("rules/alias.yaml", "rules: &all\n  - *all\n");
    assertTrue(
        messages(contents)
            .contains(
                "rules/alias.yaml: line 2: rules[0]: found a YAML alias, allowed: the value"
                    + " itself"));
  }

  @Test
  void reportsEveryProblemOfEveryFile() throws IOException {
    Map<String, String> contents = ExampleFileSetsTest.contents("pulpwood");
    contents.put(
        LEDGER_SERVICE_FILE,
        contents
            .getOrDefault(LEDGER_SERVICE_FILE, "")
            .replace("owner: scale-house", "owner: clerks")
            .replace("slots: 4", "slots: -1")
            .replace("deadlineMillis: 5000", "deadlineMillis: soon"));
    contents.put("tenants/woodlots.yaml", "name: woodlots\nweight: 1\n");
    List<String> fields =
        parser.check(contents).stream()
            .map(problem -> problem.file() + " " + problem.line() + " " + problem.field())
            .toList();
    assertEquals(
        List.of(
            LEDGER_SERVICE_FILE + " 17 classes.write.deadlineMillis",
            LEDGER_SERVICE_FILE + " 22 targets[0].slots",
            LEDGER_SERVICE_FILE + " 29 targets[1].slots",
            LEDGER_SERVICE_FILE + " 36 targets[2].slots",
            "tenants/woodlots.yaml 1 limits",
            LEDGER_SERVICE_FILE + " 3 owner"),
        fields);
  }

  private List<String> messages(Map<String, String> contents) {
    return parser.check(contents).stream().map(FileSetProblem::toString).toList();
  }
}
