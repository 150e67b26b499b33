package org.cowslipbank.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node in its own process. Signals go only to the process that this object started. */
final class NodeProcess {
    private static final String MAX_HEAP_OPTION = "-Xmx112m";

    private final String name;
    private final Path settings;
    private final List<List<String>> programs;
    private Process process;
    /** True from the first terminating signal until the next start. */
    private boolean terminating;

    private boolean pausedWhileTerminating;
    private volatile boolean suspended;
    private int starts;
    private volatile long startedAtMillis;

    /**
     * Writes the settings of a node; {@link #start} starts it.
     *
     * @param name name of the node, used for its files
     * @param directory directory for its settings and logs
     * @param settings content of the settings file
     * @param programs JVM arguments that select the program, such as {@code -jar FILE}; each start takes the next one
     * @throws IOException if the settings cannot be written
     */
    NodeProcess(String name, Path directory, byte[] settings, List<List<String>> programs) throws IOException {
        this.name = name;
        this.settings = directory.resolve(name + ".json");
        this.programs = List.copyOf(programs);
        Files.write(this.settings, settings);
    }

    String name() {
        return name;
    }

    boolean suspended() {
        return suspended;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    synchronized void start() throws IOException {
        terminating = false;
        pausedWhileTerminating = false;
        suspended = false;
        starts++;
        startedAtMillis = System.currentTimeMillis();
        File output = settings.resolveSibling(name + "-" + starts + ".log").toFile();
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                MAX_HEAP_OPTION,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dlog4j2.loggerContextFactory=org.cowslipbank.entry.log.JsonLineLoggerContextFactory"));
        command.addAll(programs.get(starts % programs.size()));
        command.addAll(List.of("relay", "--settings", settings.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    /**
     * Terminates the process. A suspended process is resumed first, because it handles the signal only then.
     *
     * @param signal {@code TERM} or {@code KILL}
     * @return true if this is the first terminating signal since the start
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized boolean terminate(String signal) throws IOException, InterruptedException {
        boolean first = !terminating;
        terminating = true;
        signal("CONT");
        signal(signal);
        return first;
    }

    /**
     * Kills the process at once, also if it is suspended.
     *
     * @return true if this is the first terminating signal since the start
     */
    synchronized boolean kill() {
        boolean first = !terminating;
        terminating = true;
        process.destroyForcibly();
        return first;
    }

    /**
     * Sends a signal that does not terminate the process.
     *
     * @param signal name of the signal, such as {@code STOP}
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        pausedWhileTerminating |= terminating && signal.equals("STOP");
        suspended = signal.equals("STOP") || suspended && !signal.equals("CONT");
        if (process.isAlive()) {
            new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid())))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Returns whether the process was suspended after a terminating signal. While it is suspended its grace period
     * elapses, so it may exit only after that period.
     *
     * @return true if it was suspended
     */
    synchronized boolean pausedWhileTerminating() {
        return pausedWhileTerminating;
    }

    /**
     * Waits for the process to exit.
     *
     * @param millis timeout in milliseconds
     * @return false if the process still runs after the timeout
     * @throws InterruptedException if the thread is interrupted
     */
    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    synchronized boolean exitedUnexpectedly() {
        return process != null && !process.isAlive() && !terminating;
    }

    synchronized void destroy() {
        terminating = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
