package org.chivecross.cli.entry.fleet;

import org.chivecross.cli.entry.http.DataPathSettings;

/** Limits and time-outs of the data path on the platform. Stateless. */
final class FleetDataPathSettings {

  private static final int MAX_HEAD_BYTES = 64 * 1024;
  private static final int MAX_HEADERS = 200;
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Bytes of a request body kept for a resend; larger than nearly all uploads of callers. */
  private static final int RETAINED_BODY_BYTES = 4 << 20;

  /** Responses up to this size are relayed only when complete; nearly all are smaller. */
  private static final int MAX_HELD_RESPONSE_BYTES = 64 * 1024;

  /** Time since the last answer up to which an idle connection is assumed to be live. */
  private static final int RECENT_ACTIVITY_MILLIS = 400;

  private static final int DEFAULT_TIMEOUT_MILLIS = 60_000;

  private FleetDataPathSettings() {}

  /** Returns the settings; callers' own limits come with the rules. */
  static DataPathSettings create() {
    return new DataPathSettings(
        MAX_HEAD_BYTES,
        MAX_HEADERS,
        Long.MAX_VALUE,
        DEFAULT_TIMEOUT_MILLIS,
        DEFAULT_TIMEOUT_MILLIS,
        CONNECT_TIMEOUT_MILLIS,
        RECENT_ACTIVITY_MILLIS,
        RETAINED_BODY_BYTES,
        MAX_HELD_RESPONSE_BYTES,
        1);
  }
}
