package org.lovagerack.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.lovagerack.foundation.event.EventLog;
import org.lovagerack.foundation.event.LogEvent;

/**
 * Handles SIGHUP, which otherwise ends the JVM. The JDK's only API for signals is unsupported and
 * causes compiler warnings, so it is called by reflection.
 */
final class HangupSignal {

  private static final EventLog LOG = new EventLog(HangupSignal.class);

  private HangupSignal() {}

  /** Runs {@code action} on another thread whenever the process receives SIGHUP. */
  static void handle(Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      Object signal = signalType.getConstructor(String.class).newInstance("HUP");
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      LOG.write(LogEvent.UNEXPECTED_ERROR, e, "step", "signal handler");
    }
  }
}
