package org.sequoiashunt.trial.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Java program that runs in a child process until it is closed.
 *
 * <p>Thread-safe. Invariant: after {@link #close()} the process has ended.
 */
public final class ChildProcess implements AutoCloseable {

    private static final long END_TIMEOUT_MS = 5_000;

    private final Process process;
    private final Path output;

    private ChildProcess(final Process process, final Path output) {
        this.process = process;
        this.output = output;
    }

    /**
     * Starts a Java program.
     *
     * @param jvmOptions options of the virtual machine, not null.
     * @param jar the program, not null.
     * @param arguments its arguments, not null.
     * @param output the file to which the process's output is appended, not null.
     * @return the process, never null.
     * @throws IOException if it cannot be started.
     */
    public static ChildProcess start(
            final List<String> jvmOptions, final Path jar, final List<String> arguments, final Path output)
            throws IOException {
        Objects.requireNonNull(jar, "jar");
        Objects.requireNonNull(output, "output");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        File file = output.toFile();
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(file))
                .start();
        return new ChildProcess(process, output);
    }

    /**
     * Returns the process id.
     *
     * @return the id that the operating system assigned.
     */
    public long processId() {
        return process.pid();
    }

    /**
     * Returns the file to which the process's standard output and error are appended.
     *
     * @return the file, never null.
     */
    public Path output() {
        return output;
    }

    /**
     * Tells whether the process runs.
     *
     * @return true if it has not ended.
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Asks the process to end (SIGTERM). */
    public void terminate() {
        process.destroy();
    }

    /** Ends the process at once (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
    }

    /**
     * Sends a signal by the platform's kill command.
     *
     * @param signal the name of the signal, such as STOP or CONT, not null.
     * @throws IOException if the command cannot be run.
     * @throws InterruptedException if the thread is interrupted.
     */
    public void signal(final String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processId()))
                .start()
                .waitFor();
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutMs the longest wait in milliseconds.
     * @return the exit code, or -1 if the process still runs.
     * @throws InterruptedException if the thread is interrupted.
     */
    public int awaitEnd(final long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
