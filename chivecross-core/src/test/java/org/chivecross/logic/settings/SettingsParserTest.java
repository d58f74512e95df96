package org.chivecross.logic.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.chivecross.model.failure.Result;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Option;

class SettingsParserTest {

  private static final class PortOptions extends ProgramOptions {
    @Option(name = "--peer-port", usage = "port for peers", metaVar = "PORT")
    private int peerPort = 7000;

    @Option(name = "--plain-peers", usage = "no TLS between peers")
    private boolean plainPeers;
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

  @Test
  void helpListsFlagVariableAndDefault() {
    String help = new SettingsParser("test", Map.of()).help(new PortOptions());
    assertTrue(help.contains("--peer-port PORT"), help);
    assertTrue(help.contains("CHIVECROSS_PEER_PORT"), help);
    assertTrue(help.contains("(default 7000)"), help);
  }
}
