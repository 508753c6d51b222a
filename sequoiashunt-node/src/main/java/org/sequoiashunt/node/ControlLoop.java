package org.sequoiashunt.node;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.link.ControlReceiver;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Runs all controllers on one thread: ticks them and passes them the messages of other nodes.
 *
 * <p>Add the controllers, then {@link #start()}. Thread-safe. Invariants: controllers run one at a time; messages
 * beyond {@link #MAXIMUM_QUEUED_MESSAGES} or {@link #MAXIMUM_QUEUED_BYTES} are dropped and counted, as if lost by the
 * network; a sender with messages in the queue may fill a quarter of it.
 */
public final class ControlLoop implements ControlReceiver, AutoCloseable {

    /** Pause between ticks in milliseconds. */
    static final long TICK_MS = 100;

    /** Largest number of messages in the queue. */
    static final int MAXIMUM_QUEUED_MESSAGES = 4_096;

    /** Largest number of bytes of the encoded messages in the queue. */
    static final int MAXIMUM_QUEUED_BYTES = 8 << 20;

    private static final long TERMINATION_TIMEOUT_MS = 1_000;
    private static final Logger LOGGER = Logger.getLogger(ControlLoop.class);

    private final List<Controller> controllers = new CopyOnWriteArrayList<>();
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private final AtomicInteger queuedBytes = new AtomicInteger();
    private final Map<String, Integer> bytesBySender = new ConcurrentHashMap<>();
    private final AtomicInteger droppedMessages = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final ScheduledThreadPoolExecutor executor;

    /** Creates a loop that is not started. */
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

    /** Starts the ticks. */
    public void start() {
        executor.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void receive(final String sender, final ControlMessage message) {
        receive(sender, message, 0);
    }

    @Override
    public void receive(final String sender, final ControlMessage message, final int bytes) {
        boolean full = queuedMessages.incrementAndGet() > MAXIMUM_QUEUED_MESSAGES;
        int senderBytes = bytesBySender.merge(sender, bytes, Integer::sum);
        boolean share = senderBytes == bytes || senderBytes <= MAXIMUM_QUEUED_BYTES / 4;
        boolean fits = queuedBytes.addAndGet(bytes) <= MAXIMUM_QUEUED_BYTES && share;
        if (full || !fits || executor.isShutdown()) {
            release(sender, bytes);
            droppedMessages.incrementAndGet();
            return;
        }
        executor.execute(() -> {
            try {
                handle(sender, message);
            } finally {
                release(sender, bytes);
            }
        });
    }

    private void release(final String sender, final int bytes) {
        queuedMessages.decrementAndGet();
        queuedBytes.addAndGet(-bytes);
        bytesBySender.computeIfPresent(sender, (name, held) -> held == bytes ? null : held - bytes);
    }

    /**
     * Returns the number of messages dropped because the queue was full or the loop was closed.
     *
     * @return zero or more.
     */
    public int droppedCount() {
        return droppedMessages.get();
    }

    /**
     * Returns the number of ticks and messages at which a controller threw an exception.
     *
     * @return zero or more.
     */
    public int failureCount() {
        return failures.get();
    }

    private void tick() {
        controllers.forEach(controller -> runAndCatch(controller::tick));
    }

    private void handle(final String sender, final ControlMessage message) {
        runAndCatch(() -> {
            for (Controller controller : controllers) {
                if (controller.receive(sender, message)) {
                    return;
                }
            }
        });
    }

    /** Catches failures, so that one controller cannot stop the others; logs only the first failure of the loop. */
    private void runAndCatch(final Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error failure) { // An overflow of the stack is an error, not an exception.
            if (failures.getAndIncrement() == 0) {
                LOGGER.error("controller failed", failure);
            }
        }
    }

    @Override
    public void close() throws InterruptedException {
        executor.shutdown();
        executor.awaitTermination(TERMINATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
