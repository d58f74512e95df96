package org.chivecross.cli.admin;

/** Monotonic clock and sleep of the wait command; tests replace it. */
interface WaitClock {

  /** Returns the monotonic time in ns. */
  long nanos();

  /** Sleeps; returns at once if the thread is interrupted. */
  void sleepMillis(long millis);

  /** Clock and sleep of the JVM. */
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
