package org.chivecross.logic.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.Option;

class SettingsParserTest {

  private static final class PortOptions extends ProgramOptions {
    @AllowedRange(min = 0, max = 65_535)
    @Option(name = "--peer-port", usage = "port for peers", metaVar = "PORT")
    private int peerPort = 7000;

    @Option(name = "--plain-peers", usage = "no TLS between peers")
    private boolean plainPeers;

    @AllowedForm(pattern = "[a-z]+", allowed = "a name of a-z")
    @Option(name = "--zone", usage = "data centre", metaVar = "NAME")
    private String zone = "dc";

    @Option(name = "--tries", usage = "tries", metaVar = "COUNT")
    private int tries = 1;
  }

  private static Result<PortOptions> parse(Map<String, String> environment, String... arguments) {
    return new SettingsParser("test", environment).parse(new PortOptions(), List.of(arguments));
  }

  private static PortOptions success(Result<PortOptions> result) {
    return ((Result.Success<PortOptions>) assertInstanceOf(Result.Success.class, result)).value();
  }

  @Test
  void flagWinsOverVariable() {
    PortOptions options =
        success(parse(Map.of("CHIVECROSS_PEER_PORT", "7001"), "--peer-port", "7002"));
    assertEquals(7002, options.peerPort);
  }

  @Test
  void variableIsUsedWithoutFlag() {
    PortOptions options =
        success(parse(Map.of("CHIVECROSS_PEER_PORT", "7001", "CHIVECROSS_PLAIN_PEERS", "true")));
    assertEquals(7001, options.peerPort);
    assertTrue(options.plainPeers);
  }

  @Test
  void badValueNamesSettingAndValue() {
    Result<PortOptions> result = parse(Map.of(), "--peer-port", "many");
    String detail = ((Result.Failed<PortOptions>) result).failures().get(0).detail();
    assertTrue(detail.contains("--peer-port") && detail.contains("many"), detail);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          --peer-port=70000 | --peer-port (CHIVECROSS_PEER_PORT): got "70000", allowed: a whole number from 0 to 65535
          --peer-port=99999999999999999999 | --peer-port (CHIVECROSS_PEER_PORT): got "99999999999999999999", allowed: a whole number from 0 to 65535
          --zone=DC1 | --zone (CHIVECROSS_ZONE): got "DC1", allowed: a name of a-z
          --tries=two | --tries (CHIVECROSS_TRIES): got "two", allowed: COUNT
          --colour=red | --colour: got an unknown flag, allowed: --help, --peer-port, --plain-peers, --tries, --version, --zone
          --zone | --zone (CHIVECROSS_ZONE): got no value, allowed: a name of a-z
          """)
  void badValueGivesOneLineWithWhatIsAllowed(String argument, String expected) {
    Result<PortOptions> result = parse(Map.of(), argument);
    assertEquals(expected, ((Result.Failed<PortOptions>) result).failures().get(0).detail());
  }

  @Test
  void badVariableGivesTheSameLine() {
    Result<PortOptions> result = parse(Map.of("CHIVECROSS_PEER_PORT", "-1"));
    assertEquals(
        "--peer-port (CHIVECROSS_PEER_PORT): got \"-1\", allowed: a whole number from 0 to 65535",
        ((Result.Failed<PortOptions>) result).failures().get(0).detail());
  }

  @Test
  void helpListsFlagVariableAndDefault() {
    String help = new SettingsParser("test", Map.of()).help(new PortOptions());
    assertTrue(help.contains("--peer-port PORT"), help);
    assertTrue(help.contains("CHIVECROSS_PEER_PORT"), help);
    assertTrue(help.contains("(default 7000)"), help);
  }
}
