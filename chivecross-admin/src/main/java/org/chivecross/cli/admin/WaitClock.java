package org.chivecross.cli.admin;

/** Clock and sleep of a run, replaceable in tests. */
interface WaitClock {

  /** Returns the monotonic time in ns. */
  long nanos();

  /** Sleeps; returns at once when the thread is interrupted. */
  void sleepMillis(long millis);

  /** Clock and sleep of the system. */
  WaitClock SYSTEM =
      new WaitClock() {
        @Override
        public long nanos() {
          return System.nanoTime();
        }

        @Override
        public void sleepMillis(long millis) {
          try {
            Thread.sleep(millis);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      };
}
