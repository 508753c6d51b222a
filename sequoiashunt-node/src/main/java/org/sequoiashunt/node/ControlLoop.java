package org.sequoiashunt.node;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.link.ControlReceiver;
import org.sequoiashunt.peer.ControlMessage;

/**
 * The thread on which all controllers run: ticks them and hands them the messages of peers.
 *
 * <p>Add the controllers, then {@link #start()}. Thread-safe. Invariants: controllers run one at a time; messages
 * beyond {@link #MAXIMUM_WAITING} are dropped and counted, as if lost on the way.
 */
public final class ControlLoop implements ControlReceiver, AutoCloseable {

    /** Time between ticks. */
    static final long TICK_MS = 100;

    /** Messages that may wait. */
    static final int MAXIMUM_WAITING = 4_096;

    private static final long END_MS = 1_000;
    private static final Logger LOGGER = Logger.getLogger(ControlLoop.class);

    private final List<Controller> controllers = new CopyOnWriteArrayList<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final ScheduledThreadPoolExecutor executor;

    /** Creates a loop that does not run yet. */
    public ControlLoop() {
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "control"));
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Adds a controller.
     *
     * @param controller the controller, not null.
     */
    public void add(final Controller controller) {
        controllers.add(Objects.requireNonNull(controller, "controller"));
    }

    /** Starts to tick. */
    public void start() {
        executor.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void receive(final String sender, final ControlMessage message) {
        if (waiting.incrementAndGet() > MAXIMUM_WAITING || executor.isShutdown()) {
            waiting.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        executor.execute(() -> {
            waiting.decrementAndGet();
            handle(sender, message);
        });
    }

    /**
     * Counts the messages that were dropped because too many waited.
     *
     * @return the number of messages.
     */
    public int droppedCount() {
        return dropped.get();
    }

    /**
     * Counts the ticks and messages at which a controller failed.
     *
     * @return the number of failures.
     */
    public int failureCount() {
        return failures.get();
    }

    private void tick() {
        controllers.forEach(controller -> guarded(controller::tick));
    }

    private void handle(final String sender, final ControlMessage message) {
        guarded(() -> {
            for (Controller controller : controllers) {
                if (controller.receive(sender, message)) {
                    return;
                }
            }
        });
    }

    /** A failure of one controller must not end the others; only the first of a run is logged. */
    private void guarded(final Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            if (failures.getAndIncrement() == 0) {
                LOGGER.error("controller failed", exception);
            }
        }
    }

    @Override
    public void close() throws InterruptedException {
        executor.shutdown();
        executor.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
    }
}
