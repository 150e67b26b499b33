import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case, ends its nodes and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    /** The steps of a case; returns the exit code. */
    interface Steps {
        int run(boolean trouble, Record record, Nodes nodes) throws Exception;
    }

    private Case() {}

    static void main(String[] arguments, Steps steps) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]).resolve("record.txt"));
        record.add("trouble " + trouble);
        Nodes nodes = new Nodes(Files.createTempDirectory("review"));
        Runtime.getRuntime().addShutdownHook(new Thread(nodes::killAll));
        int code;
        try {
            code = steps.run(trouble, record, nodes);
        } catch (Exception e) {
            record.add("the case could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        nodes.killAll();
        System.out.println("exit " + code);
        System.exit(code);
    }
}
