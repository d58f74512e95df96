package org.chivecross.cli.load;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a load run. Immutable.
 *
 * @param files directory of the file set
 * @param entries entries that callers ask for the directory first, as {@code host:port}
 * @param direct whether requests bypass the entries and go straight to the targets
 * @param rate requests started per second
 * @param seconds length of the run, in s
 * @param warmUpSeconds time from the start of the run whose latencies are not recorded, in s
 * @param callers number of callers
 * @param mix share of each class in percent, as {@code read=90,write=8,upload=2}
 * @param workMicros mean service time, in µs
 * @param bodyBytes length of each response body, in bytes
 * @param uploadBytes length of each upload body, in bytes
 * @param services services to call; empty for all
 * @param resends how often a request without a known outcome may be resent
 * @param seed seed of arrivals and service times
 * @param outputs files to write
 */
record LoadPreferences(
    Path files,
    List<String> entries,
    boolean direct,
    double rate,
    int seconds,
    int warmUpSeconds,
    int callers,
    String mix,
    long workMicros,
    long bodyBytes,
    int uploadBytes,
    List<String> services,
    int resends,
    long seed,
    LoadOutputs outputs) {}
