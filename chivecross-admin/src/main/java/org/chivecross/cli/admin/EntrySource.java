package org.chivecross.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import org.chivecross.model.failure.Result;

/** Reads one entry. Implementations are safe for use by many threads. */
interface EntrySource {

  /** Returns the object at a path. */
  Result<JsonNode> object(String entry, String path);

  /** Returns all rows of the list at a path, over all its pages. */
  Result<JsonNode> rows(String entry, String path);

  /** Returns the body at a path. */
  Result<String> text(String entry, String path);
}
