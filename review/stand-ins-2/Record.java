import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private final PrintWriter out;
    private final long startMillis = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    synchronized void add(String line) {
        out.printf("%8.3f  %s%n", (System.currentTimeMillis() - startMillis) / 1000.0, line);
    }
}
