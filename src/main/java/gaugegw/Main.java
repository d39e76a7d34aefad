package gaugegw;

import gaugegw.proxy.lifecycle.ExitStatus;
import gaugegw.proxy.lifecycle.LoadClassesCommand;
import gaugegw.proxy.lifecycle.ServeCommand;
import gaugegw.simulator.SimulatorCommand;
import java.io.IOException;

/**
 * The entry point of the command line. The command {@code serve} runs a proxy. The command {@code simulate} runs the
 * proxy's load balancer for the simulator, over standard input and output. The command {@code load-classes} loads the
 * classes that {@code serve} needs, so that they can be archived and later starts are faster.
 */
public final class Main {
    private Main() {}

    /**
     * Runs a command.
     *
     * @param args exactly one argument, the command
     * @throws IOException if standard input or output of {@code simulate} fails
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> ServeCommand.run();
            case "load-classes" -> LoadClassesCommand.run();
            case "simulate" -> SimulatorCommand.main(args);
            default -> {
                System.err.println("usage: java -jar gaugegw.jar serve|load-classes|simulate");
                System.exit(ExitStatus.USAGE);
            }
        }
    }
}
