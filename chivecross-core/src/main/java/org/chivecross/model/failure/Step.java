package org.chivecross.model.failure;

/** Step of the work at which a failure arose. */
public enum Step {
  SETTINGS,
  FILE_SET,
  ACCEPT,
  ROUTE,
  ADMIT,
  SELECT_TARGET,
  CONNECT,
  SEND_REQUEST,
  AWAIT_RESPONSE,
  RELAY_RESPONSE,
  KEY_LOOKUP,
  PEER_MESSAGE,
  PLATFORM_READ,
  PROBE,
  ADMINISTRATION,
  SHUTDOWN
}
