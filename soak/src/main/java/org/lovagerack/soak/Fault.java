package org.lovagerack.soak;

import java.time.Duration;
import org.lovagerack.platform.standin.StoreStandIn;
import org.lovagerack.platform.standin.WorkerStandIn;

/** One disturbance of the plan. */
sealed interface Fault {

  /** What is done to a process. */
  enum ProcessAction {
    /** SIGKILL, and a new process afterwards. */
    KILL,
    /** SIGTERM, and a new process after its exit. */
    TERMINATE,
    /** SIGSTOP, and SIGCONT afterwards. */
    PAUSE,
    /** SIGHUP. */
    RELOAD
  }

  /** Connections that a proxy carries. */
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

  /** A signal to the process of one entry VM. */
  record ProcessFault(int vm, ProcessAction action, Duration lasting) implements Fault {}

  /** A disturbance of all connections of one proxy. */
  record LinkFault(LinkKind kind, int index, FaultyProxy.Mode mode, Duration lasting)
      implements Fault {}

  /** A store that misbehaves for everybody. */
  record StoreFault(StoreStandIn.Fault fault, Duration lasting) implements Fault {}

  /** The store forgets the changes that it made. */
  record HistoryDropped() implements Fault {}

  /** A worker that misbehaves. */
  record WorkerFault(int worker, WorkerStandIn.Fault fault, Duration lasting) implements Fault {}

  /** A worker that loses its memory and goes on under its identifier and address. */
  record WorkerReborn(int worker) implements Fault {}

  /** A worker that drains for a time. */
  record WorkerDrained(int worker, Duration lasting) implements Fault {}

  /** The operator publishes the next configuration. */
  record ConfigurationChanged() implements Fault {}
}
