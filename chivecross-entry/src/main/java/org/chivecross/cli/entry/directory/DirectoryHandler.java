package org.chivecross.cli.entry.directory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.chivecross.cli.entry.http.LocalHandler;
import org.chivecross.cli.entry.http.LocalRequest;
import org.chivecross.cli.entry.http.LocalResponse;
import org.chivecross.logic.directory.DirectoryAnswer;
import org.chivecross.logic.directory.EntryDirectory;
import org.chivecross.logic.peer.NodeView;

/** Handles {@code GET /chivecross/entries?caller=ID}, the directory of entries. Thread-safe. */
public final class DirectoryHandler implements LocalHandler {

  private static final int METHOD_NOT_ALLOWED = 405;

  /** JSON body of the answer. */
  private record Body(List<String> entries, String keyPrefix, long lifetimeMillis) {}

  private final EntryDirectory directory = new EntryDirectory();
  private final JsonMapper mapper = JsonMapper.builder().build();
  private final Supplier<NodeView> view;
  private final LongFunction<String> keyPrefixes;

  /**
   * Creates a handler.
   *
   * @param view current view of members and configuration
   * @param keyPrefixes returns a key prefix that an incarnation owns, or "" when there is none
   */
  public DirectoryHandler(Supplier<NodeView> view, LongFunction<String> keyPrefixes) {
    this.view = view;
    this.keyPrefixes = keyPrefixes;
  }

  @Override
  public void handle(LocalRequest request, Consumer<LocalResponse> responder) {
    if (!request.method().equals("GET")) {
      responder.accept(
          LocalResponse.text(
              METHOD_NOT_ALLOWED,
              Map.of("Allow", "GET"),
              "application/json",
              "{\"error\":\"only GET\"}\n"));
      return;
    }
    NodeView currentView = view.get();
    String caller = request.query().getOrDefault("caller", request.callerAddress());
    String dataCentre =
        request.query().getOrDefault("data-centre", currentView.members().self().dataCentre());
    DirectoryAnswer answer = directory.answer(caller, dataCentre, currentView);
    responder.accept(LocalResponse.json(json(answer) + "\n"));
  }

  private String json(DirectoryAnswer answer) {
    try {
      return mapper.writeValueAsString(
          new Body(
              answer.addresses(),
              keyPrefixes.apply(answer.firstIncarnation()),
              answer.lifetimeMillis()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("directory answer could not be written as JSON", e);
    }
  }
}
