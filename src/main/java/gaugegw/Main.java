package gaugegw;

import gaugegw.proxy.lifecycle.ExitStatus;
import gaugegw.proxy.lifecycle.LoadClassesCommand;
import gaugegw.proxy.lifecycle.ServeCommand;
import gaugegw.simulator.SimulatorCommand;
import java.io.IOException;

/**
 * The command line: {@code serve} runs one proxy, {@code simulate} runs its load balancer on the simulator's wire, and
 * {@code load-classes} loads what {@code serve} needs, for the archive of classes that shortens its starts.
 */
public final class Main {
    private Main() {}

    /**
     * Runs one of the commands.
     *
     * @param args one word, the command
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
