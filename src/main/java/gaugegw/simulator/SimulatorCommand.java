package gaugegw.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command {@code simulate}: hosts load balancers for the simulator on standard input and output. */
public final class SimulatorCommand {
    private static final int EXIT_USAGE = 2;

    private SimulatorCommand() {}

    /**
     * Runs the host until standard input ends, and ends the process with status 1 after malformed input.
     *
     * @param args the single word {@code simulate}
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simulate")) {
            System.err.println("usage: java -jar gaugegw.jar simulate");
            System.exit(EXIT_USAGE);
        }
        // Not System.out: its own buffering would cost a copy of each reply.
        try (var out = new FileOutputStream(FileDescriptor.out)) {
            int status = new SimulatorHost().run(System.in, out, System.err);
            if (status != 0) {
                System.exit(status);
            }
        }
    }
}
