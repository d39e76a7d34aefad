package gaugegw;

import gaugegw.proxy.lifecycle.ProxyServer;
import java.io.IOException;

/**
 * The command line: {@code serve} runs one real proxy, {@code simulate} the module on the simulator's wire, and
 * {@code load-classes} the warm-up alone, for the archive of loaded classes that makes starts fast.
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
            case "serve" -> ProxyServer.main(args);
            case "load-classes" -> ProxyServer.loadClasses();
            case "simulate" -> gaugegw.simulator.SimulatorCommand.main(args);
            default -> {
                System.err.println("usage: java -jar gaugegw.jar serve|load-classes|simulate");
                System.exit(2);
            }
        }
    }
}
