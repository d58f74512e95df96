package org.chivecross.cli.load;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a load run.
 *
 * @param files directory of the file set
 * @param entries entries to ask for the directory, as {@code host:port}
 * @param direct whether requests go to the targets themselves
 * @param rate requests started in a second
 * @param seconds length of the run in s
 * @param warmUpSeconds start of the run whose latencies are left out, in s
 * @param callers number of callers
 * @param mix share of each class in percent, as {@code read=90,write=8,upload=2}
 * @param workMicros mean service time in µs
 * @param bodyBytes length of an answer's body in bytes
 * @param uploadBytes length of an upload in bytes
 * @param services services to call; empty for all
 * @param resends times that an undecided request is sent again
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
