package org.sequoiashunt.trial.measurement;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests of several series in turn at a fixed rate, whatever the answers. Confined to one thread.
 */
final class OpenLoopLoad {

    private static final long SETTLE_MS = 2_000;

    private final List<RequestSeries> series;

    OpenLoopLoad(final List<RequestSeries> series) {
        this.series = List.copyOf(Objects.requireNonNull(series, "series"));
    }

    /**
     * Sends for a time and waits for the last answers.
     *
     * @param perSecond requests a second in each series.
     * @param seconds how long to send.
     */
    void run(final int perSecond, final int seconds) throws InterruptedException {
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / perSecond / series.size();
        long total = (long) perSecond * seconds * series.size();
        long startNanos = System.nanoTime();
        for (long number = 0; number < total; number++) {
            long dueNanos = startNanos + number * intervalNanos;
            LockSupport.parkNanos(dueNanos - System.nanoTime());
            series.get((int) (number % series.size())).send(dueNanos);
        }
        Thread.sleep(SETTLE_MS);
    }
}
