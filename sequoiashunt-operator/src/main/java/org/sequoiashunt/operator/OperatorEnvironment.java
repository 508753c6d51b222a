package org.sequoiashunt.operator;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.sequoiashunt.commit.StoreRetry;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.time.Clock;

/**
 * Everything outside that commands use. Immutable; as thread-safe as its components.
 *
 * @param clock the clock.
 * @param random the source of commit identities and of jitter.
 * @param pause how to wait between repeated calls to the store.
 * @param connector connects to a store.
 * @param defaultStore the address of the store when no option names one, if any.
 * @param notices takes lines that operators should see while a command is still running.
 */
public record OperatorEnvironment(
        Clock clock,
        RandomGenerator random,
        StoreRetry.Pause pause,
        StoreConnector connector,
        Optional<String> defaultStore,
        Consumer<String> notices) {

    /** Time after which a command gives up on a store that does not answer. */
    private static final long BUDGET_MS = 10_000;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public OperatorEnvironment {
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(pause, "pause");
        Objects.requireNonNull(connector, "connector");
        Objects.requireNonNull(defaultStore, "defaultStore");
        Objects.requireNonNull(notices, "notices");
    }

    /**
     * Starts the time budget of one command.
     *
     * @return a new budget, never null.
     */
    public StoreRetry startRetry() {
        return StoreRetry.start(clock, random, pause, BUDGET_MS);
    }

    /** Connects to a store. */
    @FunctionalInterface
    public interface StoreConnector {

        /**
         * Connects.
         *
         * @param address the address of the store, not null.
         * @return the store, never null.
         * @throws IOException if the client cannot be started; an unreachable store shows at the first call.
         */
        Store connect(NodeAddress address) throws IOException;
    }
}
