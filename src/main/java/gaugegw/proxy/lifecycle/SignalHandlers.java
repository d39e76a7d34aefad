package gaugegw.proxy.lifecycle;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for POSIX signals. The one way to receive signals in Java 17 is {@code sun.misc.Signal}; it is
 * called by reflection, as the compiler's warning about it can't be suppressed.
 *
 * <p>A process inherits which signals are ignored ({@code nohup}, some supervisors). HotSpot leaves SIGHUP, SIGINT and
 * SIGTERM ignored where it finds them so: no handler takes effect, not at a second call either, and the runtime's own,
 * which starts the shutdown hooks, is missing too.
 */
final class SignalHandlers {
    /** SIGHUP: the configuration is to be reloaded. */
    static final String RELOAD = "HUP";

    /** SIGTERM: the process is to drain and end. */
    static final String TERMINATE = "TERM";

    private SignalHandlers() {}

    /**
     * Runs an action at each signal of a name, in place of what the runtime does. The runtime makes a thread for each
     * signal, so that two of them may run the action at once, and the action may block.
     *
     * @param name without the prefix {@code SIG}
     * @return false if the signal is inherited as ignored: the action never runs
     * @throws IllegalStateException if this runtime can't handle the signal
     */
    static boolean install(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            Object previous = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signal, handler(handlerType, action));
            Object ignored = handlerType.getField("SIG_IGN").get(null);
            return previous != ignored;
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("SIG" + name + " can't be handled", e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime can't handle signals", e);
        }
    }

    private static Object handler(Class<?> handlerType, Runnable action) {
        InvocationHandler handler = (self, method, arguments) -> {
            if (method.getName().equals("handle")) {
                action.run();
            }
            return null;
        };
        return Proxy.newProxyInstance(null, new Class<?>[] {handlerType}, handler);
    }
}
