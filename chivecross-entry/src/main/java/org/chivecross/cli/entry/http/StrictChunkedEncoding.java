package org.chivecross.cli.entry.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Chunked coding that validates the lines between chunks and the trailer before the library parses
 * them.
 *
 * <p>The library skips all bytes between the end of a chunk and the next line feed, accepts lines
 * that end with LF alone, and takes any bytes up to a colon for the name of a trailer field. Safe
 * for use by many threads; the state of a body is kept with its head.
 */
final class StrictChunkedEncoding implements TransferEncoding {

  private static final String STATE = "chivecross.chunks";
  private static final int MAX_SIZE_LINE_BYTES = 256;
  private static final int MAX_SIZE_DIGITS = 15;

  /** The time that the library takes for a trailer grows with the square of its fields. */
  private static final int MAX_TRAILER_BYTES = 8 * 1024;

  private static final HeadGuard TRAILER_GUARD = HeadGrammar::checkFields;

  private final ChunkedTransferEncoding library;

  private StrictChunkedEncoding(int maxHeadBytes) {
    library = new ChunkedTransferEncoding(Math.min(maxHeadBytes, MAX_TRAILER_BYTES));
  }

  /** Replaces the chunked coding of a filter. */
  static void install(HttpCodecFilter filter, int maxHeadBytes) {
    for (TransferEncoding encoding : filter.getTransferEncodings()) {
      if (encoding instanceof ChunkedTransferEncoding) {
        filter.removeTransferEncoding(encoding);
      }
    }
    filter.addTransferEncoding(new StrictChunkedEncoding(maxHeadBytes));
  }

  /** Parsing state of one body. */
  private static final class State {
    private boolean inData;
    private boolean afterData;
    private int separatorBytes;

    /** Distance of the trailer from the position of the next buffer; negative before it begins. */
    private int trailerOffset = -1;
  }

  @Override
  public boolean wantDecode(HttpHeader header) {
    return library.wantDecode(header);
  }

  @Override
  public boolean wantEncode(HttpHeader header) {
    return library.wantEncode(header);
  }

  @Override
  public void prepareSerialize(FilterChainContext context, HttpHeader header, HttpContent content) {
    library.prepareSerialize(context, header, content);
  }

  @Override
  public Buffer serializePacket(FilterChainContext context, HttpContent content) {
    return library.serializePacket(context, content);
  }

  @Override
  public ParsingResult parsePacket(FilterChainContext context, HttpHeader header, Buffer buffer) {
    HttpCodecFilter.ContentParsingState parsing =
        ((HttpPacketParsing) header).getContentParsingState();
    State state = stateOf(header);
    if (!parsing.isLastChunk && !state.inData) {
      check(state, buffer);
    }
    if (state.trailerOffset >= 0) {
      checkTrailer(buffer.slice(buffer.position() + state.trailerOffset, buffer.limit()));
    }
    int before = buffer.remaining();
    ParsingResult result = library.parsePacket(context, header, buffer);
    if (parsing.isLastChunk) {
      Buffer rest = result.getRemainderBuffer();
      state.trailerOffset -= before - (rest == null ? 0 : rest.remaining());
      return result;
    }
    boolean inData = parsing.chunkRemainder > 0;
    HttpContent content = result.getHttpContent();
    boolean hasData = content != null && content.getContent().hasRemaining();
    if (!inData && (state.inData || hasData)) {
      state.afterData = true;
      state.separatorBytes = 0;
    }
    state.inData = inData;
    return result;
  }

  private static State stateOf(HttpHeader header) {
    State state = (State) header.getAttributes().getAttribute(STATE);
    if (state == null) {
      state = new State();
      header.getAttributes().setAttribute(STATE, state);
    }
    return state;
  }

  private static void check(State state, Buffer buffer) {
    int at = buffer.position();
    while (state.afterData && at < buffer.limit()) {
      require(buffer.get(at) == (state.separatorBytes == 0 ? '\r' : '\n'), "bytes after a chunk");
      at++;
      state.separatorBytes++;
      state.afterData = state.separatorBytes < 2;
    }
    int next = checkSizeLine(buffer, at);
    if (next >= 0 && isZero(buffer, at)) {
      state.trailerOffset = next - buffer.position();
    }
  }

  private static boolean isZero(Buffer buffer, int start) {
    int at = start;
    while (buffer.get(at) == '0') {
      at++;
    }
    return Character.digit(buffer.get(at), 16) < 0;
  }

  private static void checkTrailer(Buffer trailer) {
    try {
      TRAILER_GUARD.check(trailer);
    } catch (HeadRefusal refusal) {
      throw new HttpBrokenContentException("trailer: " + refusal.getMessage());
    }
  }

  /** Returns the index behind the line, or -1 when the line is not complete. */
  private static int checkSizeLine(Buffer buffer, int start) {
    int at = start;
    while (at < buffer.limit() && Character.digit(buffer.get(at), 16) >= 0) {
      at++;
    }
    if (at == buffer.limit()) {
      require(at - start <= MAX_SIZE_DIGITS, "chunk size is too long");
      return -1;
    }
    require(at > start && at - start <= MAX_SIZE_DIGITS, "chunk size is not a number");
    require(buffer.get(at) == ';' || buffer.get(at) == '\r', "bytes after a chunk size");
    while (at < buffer.limit() && buffer.get(at) != '\r') {
      require(buffer.get(at) >= ' ' || buffer.get(at) == '\t', "control character in chunk size");
      at++;
    }
    require(at - start <= MAX_SIZE_LINE_BYTES, "chunk extension is too long");
    if (at + 1 >= buffer.limit()) {
      return -1;
    }
    require(buffer.get(at + 1) == '\n', "CR without LF");
    return at + 2;
  }

  private static void require(boolean valid, String detail) {
    if (!valid) {
      throw new HttpBrokenContentException(detail);
    }
  }
}
