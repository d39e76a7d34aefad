package gaugegw.proxy.soak;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Plays a range of seeds, one after the other, and prints a line for each with its violations. Started by hand, from the
 * root of the repository, with the class path of the tests.
 */
public final class SoakCommand {
    private SoakCommand() {}

    /** Plays the seeds from the first argument to the second; ends with status 1 if a rule was broken. */
    public static void main(String[] arguments) throws Exception {
        long first = Long.parseLong(arguments[0]);
        long last = Long.parseLong(arguments[1]);
        int failed = 0;
        for (long seed = first; seed <= last; seed++) {
            SoakScenario scenario = SoakScenario.of(seed);
            SoakRun.Result result = new SoakRun(scenario, Files.createTempDirectory("soak")).run();
            System.out.println(
                    (result.violations().isEmpty() ? "held   " : "BROKEN ") + scenario + ": " + result.summary());
            result.violations().forEach(violation -> System.out.println("    " + violation));
            if (!result.violations().isEmpty()) {
                failed++;
                Path log = Files.write(Files.createTempFile("soak-" + seed + "-", ".log"), result.log());
                System.out.println("    log: " + log);
            }
        }
        System.out.println((last - first + 1) + " runs, " + failed + " broken");
        System.exit(failed == 0 ? 0 : 1);
    }
}
