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
 * External dependencies of the commands, replaceable in tests. Immutable; as thread-safe as its components.
 *
 * @param clock gives the current time.
 * @param random generates commit ids and the jitter of retries.
 * @param pause waits between retries of a call to the store.
 * @param connector connects to a store.
 * @param defaultStore the address of the store used if the option is absent; empty if there is no default.
 * @param notices receives lines that are printed while a command is still running.
 */
public record OperatorEnvironment(
        Clock clock,
        RandomGenerator random,
        StoreRetry.Pause pause,
        StoreConnector connector,
        Optional<String> defaultStore,
        Consumer<String> notices) {

    /** Time in milliseconds after which a command stops retrying a store that does not answer. */
    private static final long RETRY_BUDGET_MS = 10_000;

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
     * Starts the retry budget of one command: 10 seconds from this call.
     *
     * @return a new budget, never null.
     */
    public StoreRetry startRetry() {
        return StoreRetry.start(clock, random, pause, RETRY_BUDGET_MS);
    }

    /** Connects to a store. */
    @FunctionalInterface
    public interface StoreConnector {

        /**
         * Creates a client of the store.
         *
         * @param address the address of the store, not null.
         * @return the store, never null.
         * @throws IOException if the client cannot be started; an unreachable store is reported by the first call.
         */
        Store connect(NodeAddress address) throws IOException;
    }
}
