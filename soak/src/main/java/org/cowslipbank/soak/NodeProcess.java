package org.cowslipbank.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node as a process of its own. Only processes that this class started are signalled. */
final class NodeProcess {
    private final String name;
    private final Path settings;
    private final List<String> program;
    private Process process;
    /** True from the first signal that ends the process to its next start. */
    private boolean ending;

    private boolean pausedWhileEnding;
    private int starts;

    /**
     * Describes a node.
     *
     * @param name its name
     * @param directory where its settings and logs are written
     * @param settings content of its settings file
     * @param program arguments of the JVM that name the program
     * @throws IOException if the settings cannot be written
     */
    NodeProcess(String name, Path directory, byte[] settings, List<String> program) throws IOException {
        this.name = name;
        this.settings = directory.resolve(name + ".json");
        this.program = List.copyOf(program);
        Files.write(this.settings, settings);
    }

    String name() {
        return name;
    }

    synchronized void start() throws IOException {
        ending = false;
        pausedWhileEnding = false;
        starts++;
        File output = settings.resolveSibling(name + "-" + starts + ".log").toFile();
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx112m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dlog4j2.configurationFile=log4j2-relay.xml"));
        command.addAll(program);
        command.addAll(List.of("relay", "--settings", settings.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
    }

    /**
     * Ends the process; a suspended one goes on first, because it would take the signal only then.
     *
     * @param signal {@code TERM} or {@code KILL}
     * @return true if it was not ending already
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized boolean end(String signal) throws IOException, InterruptedException {
        boolean first = !ending;
        ending = true;
        signal("CONT");
        signal(signal);
        return first;
    }

    /**
     * Sends a signal that does not end the process.
     *
     * @param signal its name, such as {@code STOP}
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread is interrupted
     */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        pausedWhileEnding |= ending && signal.equals("STOP");
        if (process.isAlive()) {
            new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid())))
                    .start()
                    .waitFor();
        }
    }

    /**
     * Tells whether the process was suspended after it was told to end, which takes from its grace period.
     *
     * @return true if it was
     */
    synchronized boolean pausedWhileEnding() {
        return pausedWhileEnding;
    }

    /**
     * Waits until the process has ended.
     *
     * @param millis the longest wait in milliseconds
     * @return false if it still runs
     * @throws InterruptedException if the thread is interrupted
     */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    synchronized boolean endedByItself() {
        return process != null && !process.isAlive() && !ending;
    }

    synchronized void destroy() {
        ending = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
