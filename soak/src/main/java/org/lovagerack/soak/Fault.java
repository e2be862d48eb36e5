package org.lovagerack.soak;

import java.time.Duration;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** A fault that the soak injects. */
sealed interface Fault {

  /** Signal that is sent to a process. */
  enum ProcessAction {
    /** Sends SIGKILL; a new process is started after the fault's duration. */
    KILL,
    /** Sends SIGTERM; a new process is started the fault's duration after the exit. */
    TERMINATE,
    /** Sends SIGSTOP, and SIGCONT after the fault's duration. */
    PAUSE,
    /** Sends SIGHUP. */
    RELOAD
  }

  /** Kind of connections that a proxy forwards. */
  enum LinkKind {
    /** From one entry VM to the store. */
    STORE,
    /** From all other entry VMs to one. */
    PEER,
    /** From clients to one entry VM. */
    CLIENT,
    /** From all entry VMs to one worker. */
    WORKER
  }

  /** Sends a signal to the process of one entry VM. */
  record ProcessFault(int vm, ProcessAction action, Duration duration) implements Fault {}

  /** Changes the mode of one proxy, which affects all of its connections. */
  record LinkFault(LinkKind kind, int index, FaultyProxy.Mode mode, Duration duration)
      implements Fault {}

  /** Makes the store faulty for all entry VMs. */
  record StoreFault(StoreStandIn.Fault fault, Duration duration) implements Fault {}

  /** Makes the store drop its change history, so that feeds have to be restarted. */
  record StoreHistoryDropped() implements Fault {}

  /** Makes a worker faulty. */
  record WorkerFault(int worker, WorkerStandIn.Fault fault, Duration duration) implements Fault {}

  /** Restarts a worker without its state, under the same identifier and address. */
  record WorkerRestarted(int worker) implements Fault {}

  /** Drains a worker for a duration. */
  record WorkerDrained(int worker, Duration duration) implements Fault {}

  /** Publishes the next configuration. */
  record ConfigurationChanged() implements Fault {}
}
