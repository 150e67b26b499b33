import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Nodes as processes of their own, started with the command of the deploy file. Each has a loopback address. */
final class Nodes {
    private static final int FRONT = 8005;
    private static final int READY = 8002;
    private static final int DIRECTORY = 8009;

    private final Path directory;
    private final String network;
    private final List<String> command;
    private final Map<Integer, Process> processes = new java.util.concurrent.ConcurrentHashMap<>();

    /** Reads the command of the only role from the deploy file; the present folder is that of the repository. */
    Nodes(Path directory) throws IOException {
        this.directory = directory;
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        this.command = new ArrayList<>(List.of(run.substring("run = \"".length(), run.length() - 1).split(" ")));
        // Runs that go on side by side get networks of their own.
        this.network = "127." + (10 + ProcessHandle.current().pid() % 200) + ".";
    }

    String ip(int node) {
        return network + (ProcessHandle.current().pid() / 200 % 250) + "." + (1 + node);
    }

    int front() {
        return FRONT;
    }

    void start(int node, String storeAddress, Map<String, Object> bounds) throws IOException {
        String ip = ip(node);
        Path file = directory.resolve("node-" + node + ".json");
        Files.writeString(
                file,
                Json.write(Json.map(
                        "NodeName", "front-" + node,
                        "Role", "relay",
                        "MachineClass", "front",
                        "Serves", List.of("front", "directory"),
                        "Ip", ip,
                        "Zone", "a",
                        "Region", "r",
                        "Zones", Json.map("a", "r"),
                        "Listen",
                                Json.map(
                                        "Front", ip + ":" + FRONT,
                                        "Ready", ip + ":" + READY,
                                        "Control", ip + ":8000",
                                        "Directory", ip + ":" + DIRECTORY),
                        "InternalPorts", List.of(7700, 7715),
                        "Seeds", List.of(),
                        "Bootstrap", true,
                        "FaultCounted", false,
                        "Limits",
                                Json.map(
                                        "CpuShare", 0.75,
                                        "CpuCores", 1,
                                        "MemoryMb", 280,
                                        "MaxFds", 4100,
                                        "LinkMbps", 1000.0,
                                        "DiskMb", 0),
                        "Discovery", "platform",
                        "Entry", "directory",
                        "HeartbeatMs", 1200,
                        "Bounds", bounds,
                        "Platform",
                                Json.map(
                                        "Address", storeAddress,
                                        "form", "kv",
                                        "WritesPerS", 400,
                                        "ReadsPerS", 2000,
                                        "HistoryS", 20,
                                        "ValueBytes", 1048576,
                                        "TtlMinMs", 1000))));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("COWSLIPBANK_NODE_FILE", file.toString());
        File log = directory.resolve("node-" + node + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, builder.start());
    }

    /** The bounds of the small deployments in their settings files. */
    static Map<String, Object> usualBounds() {
        return Json.map(
                "SeedLagS", 3,
                "AddrReuseS", 2,
                "ContactMs", 3000,
                "AckMs", 4000,
                "CatchUpS", 4,
                "DrainMs", 2000,
                "GraceS", 8,
                "LossSlackMs", 200,
                "ConfigApplyMs", 2000,
                "RollbackSlackMs", 250,
                "SkewMaxMs", 5000,
                "RevokeStrict", true,
                "RevokeMs", 5000,
                "RetryBudgetRatio", 0.2,
                "BudgetWindowS", 10,
                "BudgetSlack", 58,
                "RecoverS", 12,
                "TransitMs", 120,
                "AgainS", 20,
                "FencingRequired", false,
                "LeaseMs", 3000,
                "ThawSlackMs", 300,
                "VersionMs", 8000,
                "VersionAllMs", 11000,
                "ttl_max_s", 5);
    }

    boolean isReady(int node) {
        try {
            HttpURLConnection check =
                    (HttpURLConnection) new URL("http://" + ip(node) + ":" + READY + "/api/readiness").openConnection();
            check.setConnectTimeout(500);
            check.setReadTimeout(500);
            return check.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int node, long limitMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + limitMillis;
        while (!isReady(node)) {
            if (System.currentTimeMillis() > until) {
                throw new IllegalStateException("node " + node + " was not ready in time");
            }
            Thread.sleep(50);
        }
    }

    boolean isAlive(int node) {
        return processes.get(node).isAlive();
    }

    void kill(int node) throws InterruptedException {
        processes.get(node).destroyForcibly().waitFor();
    }

    void signal(int node, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(node).pid())).start().waitFor();
    }

    void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }
}
