package gaugegw.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code simulate} hosts instances of the module on standard input and output. */
public final class SimulatorCommand {
    private SimulatorCommand() {}

    /**
     * Runs the host.
     *
     * @param args the single word {@code simulate}
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simulate")) {
            System.err.println("usage: java -jar gaugegw.jar simulate");
            System.exit(2);
        }
        try (var out = new FileOutputStream(FileDescriptor.out)) {
            int code = new SimulatorHost().run(System.in, out, System.err);
            if (code != 0) {
                System.exit(code);
            }
        }
    }
}
