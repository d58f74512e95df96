package org.chivecross.cli.entry.platform;

/**
 * A VM in the platform's list. Immutable.
 *
 * @param address IP number
 * @param peerAddress {@code ip:port} of its entry for peers; empty when it runs none
 * @param leaving whether the platform lists it as leaving
 */
public record ListedVm(String address, String peerAddress, boolean leaving) {}
