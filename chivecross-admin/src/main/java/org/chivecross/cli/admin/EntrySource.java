package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import org.chivecross.model.failure.Result;

/** Reads from the administration API of one entry. Implementations are thread-safe. */
interface EntrySource {

  /** Returns the JSON object at a path. */
  Result<JsonNode> object(String entry, String path);

  /** Returns all rows of the list at a path, from all its pages. */
  Result<JsonNode> rows(String entry, String path);

  /** Returns the response body at a path. */
  Result<String> text(String entry, String path);
}
