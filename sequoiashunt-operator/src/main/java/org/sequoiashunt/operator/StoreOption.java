package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.Store;

/**
 * Command-line option with the address of the platform's store. The option takes precedence over the environment
 * variable. Filled once by the parser; confined to one thread.
 */
final class StoreOption {

    /** Environment variable with the store's address, used if {@code --store} is absent. */
    static final String ENVIRONMENT_VARIABLE = "SEQUOIASHUNT_STORE";

    @Parameter(
            names = "--store",
            description = "IP number and port of the platform's store; by default " + ENVIRONMENT_VARIABLE,
            order = 90)
    private String address;

    boolean isConfigured(final OperatorEnvironment environment) {
        return address != null || environment.defaultStore().isPresent();
    }

    Store connect(final OperatorEnvironment environment) throws UsageException, IOException {
        String text = address != null ? address : environment.defaultStore().orElse("");
        if (text.isEmpty()) {
            throw new UsageException("name the platform's store with --store or " + ENVIRONMENT_VARIABLE);
        }
        try {
            return environment.connector().connect(NodeAddress.parse(text));
        } catch (IllegalArgumentException exception) {
            throw new UsageException("the store's address is wrong: " + exception.getMessage());
        }
    }
}
