package org.lovagerack.fleet.support;

import java.util.ArrayList;
import java.util.List;
import org.lovagerack.fleet.job.JobAnswer;
import org.lovagerack.fleet.job.Submission;
import org.lovagerack.fleet.shard.FormerWorkers;
import org.lovagerack.fleet.shard.OwnedShard;

/** Entry VM that owns the shard. */
public final class OwnerVm {

  private final FakeFleet.Vm vm;
  private final OwnedShard shard;
  private boolean lost;

  OwnerVm(FakeFleet.Vm vm, OwnedShard shard) {
    this.vm = vm;
    this.shard = shard;
  }

  /** Starts to serve the shard. */
  public void start() {
    shard.start(
        FormerWorkers.complete(vm.directory.entries()),
        () -> {
          lost = true;
          shard.close();
        });
  }

  public FakeFleet.Vm vm() {
    return vm;
  }

  public OwnedShard shard() {
    return shard;
  }

  /** Returns whether the shard was lost to another owner. */
  public boolean lost() {
    return lost;
  }

  /** Submits a job; the returned list receives the answer. */
  public List<JobAnswer> submit(Submission submission) {
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().submit(submission, answers::add);
    return answers;
  }

  /** Reads the state of a job; the returned list receives the answer. */
  public List<JobAnswer> state(String jobId) {
    List<JobAnswer> answers = new ArrayList<>();
    shard.jobs().state(jobId, answers::add);
    return answers;
  }

  /** Ends the process without releasing the shard. */
  public void kill(FakeNetwork network) {
    network.stopVm(vm.name);
    vm.storeConnection.setFault(FakeStore.Fault.UNRESPONSIVE);
    shard.close();
  }
}
