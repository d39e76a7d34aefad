package gaugegw.simulator.workload;

import java.util.List;

/**
 * A type of machine that backends run on.
 *
 * @param name name on the wire
 * @param speed mean speed of its backends
 */
record MachineType(String name, double speed) {
    static final List<MachineType> ALL =
            List.of(new MachineType("small", 1), new MachineType("large", 2), new MachineType("odd", 0.5));
}
