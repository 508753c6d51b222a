package org.sequoiashunt.operator;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.Store;

/**
 * Option that names the platform's store. Filled once by the parser; confined to one thread.
 */
final class StoreOption {

    /** Environment variable that names the store when the option is left out. */
    static final String VARIABLE = "SEQUOIASHUNT_STORE";

    @Parameter(
            names = "--store",
            description = "IP number and port of the platform's store; by default " + VARIABLE,
            order = 90)
    private String address;

    boolean isGiven(final OperatorEnvironment environment) {
        return address != null || environment.defaultStore().isPresent();
    }

    Store connect(final OperatorEnvironment environment) throws UsageException, IOException {
        String text = address != null ? address : environment.defaultStore().orElse("");
        if (text.isEmpty()) {
            throw new UsageException("name the platform's store with --store or " + VARIABLE);
        }
        try {
            return environment.connector().connect(NodeAddress.parse(text));
        } catch (IllegalArgumentException exception) {
            throw new UsageException("the store's address is wrong: " + exception.getMessage());
        }
    }
}
