package gaugegw.proxy.lifecycle;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for POSIX signals. In Java 17 only {@code sun.misc.Signal} can receive signals. It is called by
 * reflection, because the compiler warning about its use can't be suppressed.
 *
 * <p>A process inherits the set of ignored signals from its parent, such as {@code nohup} or a supervisor. If SIGHUP,
 * SIGINT or SIGTERM is ignored at the start, HotSpot leaves it ignored: a handler never takes effect, not even if it is
 * installed a second time, and the runtime's own handler, which runs the shutdown hooks, is not installed either.
 */
final class SignalHandlers {
    /** SIGHUP: reload the configuration. */
    static final String RELOAD = "HUP";

    /** SIGTERM: drain the proxy and end the process. */
    static final String TERMINATE = "TERM";

    private SignalHandlers() {}

    /**
     * Installs a handler that runs an action at each signal of the given name, in place of the runtime's own handler.
     * The runtime creates a new thread for each signal: the action may block, and two threads may run it at the same
     * time.
     *
     * @param name the name of the signal without the prefix {@code SIG}
     * @return false if the signal was ignored when the process started, in which case the action never runs
     * @throws IllegalStateException if no handler can be installed for the signal
     */
    static boolean install(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signal, handler(handlerType, action));
            Object ignoringHandler = handlerType.getField("SIG_IGN").get(null);
            return previousHandler != ignoringHandler;
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("could not install a handler for SIG" + name, e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime does not support signal handlers", e);
        }
    }

    private static Object handler(Class<?> handlerType, Runnable action) {
        InvocationHandler handler = (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
                action.run();
            }
            return null;
        };
        return Proxy.newProxyInstance(null, new Class<?>[] {handlerType}, handler);
    }
}
