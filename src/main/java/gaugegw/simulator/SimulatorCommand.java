package gaugegw.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * The command {@code simulate}: runs load balancers for the simulator, which sends events on standard input and reads
 * actions from standard output.
 */
public final class SimulatorCommand {
    private static final int EXIT_USAGE = 2;

    private SimulatorCommand() {}

    /**
     * Runs the host until standard input ends. Terminates the process with status 1 after malformed input, and with
     * status 2 if the arguments are invalid.
     *
     * @param args the command-line arguments; must be the single word {@code simulate}
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simulate")) {
            System.err.println("usage: java -jar gaugegw.jar simulate");
            System.exit(EXIT_USAGE);
        }
        // System.out would copy each reply into a buffer of its own.
        try (var out = new FileOutputStream(FileDescriptor.out)) {
            int status = new SimulatorHost().run(System.in, out, System.err);
            if (status != 0) {
                System.exit(status);
            }
        }
    }
}
