package org.sequoiashunt.operator;

import java.security.SecureRandom;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.sequoiashunt.commit.HttpStore;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;

/**
 * Entry point of the command-line program {@code sequoiashunt}. Not instantiable; runs on the main thread.
 */
public final class OperatorMain {

    private static final long CALL_TIMEOUT_MS = 3_000;

    private OperatorMain() {}

    /**
     * Runs the command line and ends the process with the exit code of the command.
     *
     * @param arguments the command line.
     * @throws ResourceCloseException if the client of the store cannot be closed.
     */
    public static void main(final String[] arguments) throws ResourceCloseException {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        Logger.getLogger("").setLevel(Level.SEVERE);
        Closer closer = new Closer();
        CommandResult result = OperatorCommandLine.of(createEnvironment(closer)).run(arguments);
        closer.close();
        System.out.print(result.output());
        System.err.print(result.errors());
        System.out.flush();
        System.exit(result.code().status());
    }

    private static OperatorEnvironment createEnvironment(final Closer closer) {
        return new OperatorEnvironment(
                SystemClock.start(),
                new SecureRandom(),
                Thread::sleep,
                address -> HttpStore.open(address, CALL_TIMEOUT_MS, closer),
                Optional.ofNullable(System.getenv(StoreOption.ENVIRONMENT_VARIABLE))
                        .filter(text -> !text.isEmpty()),
                System.err::println);
    }
}
