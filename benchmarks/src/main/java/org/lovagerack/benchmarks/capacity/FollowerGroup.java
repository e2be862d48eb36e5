package org.lovagerack.benchmarks.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.lovagerack.foundation.timer.DrivenTimer;
import org.lovagerack.notes.CatchUp;
import org.lovagerack.notes.CatchUpCodec;
import org.lovagerack.notes.Deployment;
import org.lovagerack.notes.DeploymentListener;
import org.lovagerack.notes.NoteFollower;
import org.lovagerack.notes.NotePublisher;
import org.lovagerack.notes.ReleaseNote;

/** Entry VMs that follow release notes and push them to the peers of their failure domain. */
final class FollowerGroup {

  /** Entry VMs of a failure domain if there are enough of them. */
  static final int DOMAIN_SIZE = 13;

  private static final Duration ONE_WAY = Duration.ofMillis(1);

  final DrivenTimer timer = new DrivenTimer();
  final CountingPlatform platform = new CountingPlatform(timer);
  private final List<Member> members = new ArrayList<>();
  private final Map<Long, Arrivals> arrivals = new HashMap<>();
  private final boolean push;
  private long pushes;
  private long peerAnswers;
  private long peerAnswerChars;

  /**
   * @param push whether notes are pushed to peers
   */
  FollowerGroup(boolean push) {
    this.push = push;
  }

  /** Adds and starts an entry VM of a failure domain. */
  void start(int domain) {
    Member member = new Member(domain, members.size());
    members.add(member);
    member.follower.addListener(member);
    member.follower.start();
  }

  /** Stops the last entry VMs, which are then gone with their state. */
  void removeLast(int count) {
    for (int i = 0; i < count; i++) {
      members.removeLast().follower.stop();
    }
  }

  int size() {
    return members.size();
  }

  long pushes() {
    return pushes;
  }

  long peerAnswers() {
    return peerAnswers;
  }

  long peerAnswerChars() {
    return peerAnswerChars;
  }

  boolean allAt(long revision) {
    return members.stream().allMatch(member -> member.revision >= revision);
  }

  /** Publishes a note at the first entry VM. */
  void publish(ReleaseNote note) {
    arrivals.put(note.baseRevision() + 1, new Arrivals(timer.nanoTime()));
    NoteFollower publishing = members.getFirst().follower;
    new NotePublisher(timer, platform, platform, publishing)
        .publish(note)
        .whenComplete(
            (publication, failure) -> {
              if (failure != null) {
                throw new IllegalStateException(failure);
              }
            });
  }

  /** Returns the time from the call to publish until the last entry VM had a note in force. */
  Duration timeToAll(long revision) {
    Arrivals seen = arrivals.get(revision);
    if (seen.count != members.size()) {
      throw new IllegalStateException(
          "revision " + revision + " is in force on " + seen.count + " of " + members.size());
    }
    return Duration.ofNanos(seen.lastNanos - seen.publishedNanos);
  }

  private static final class Arrivals {
    private final long publishedNanos;
    private long lastNanos;
    private int count;

    private Arrivals(long publishedNanos) {
      this.publishedNanos = publishedNanos;
    }
  }

  private final class Member implements DeploymentListener {
    private final int domain;
    private final NoteFollower follower;
    private long revision = -1;

    private Member(int domain, int number) {
      this.domain = domain;
      this.follower =
          new NoteFollower(timer, new Random(number), platform, platform, this::askPeers);
    }

    @Override
    public void deployed(Deployment deployment) {
      for (long reached = revision + 1; reached <= deployment.revision(); reached++) {
        Arrivals seen = arrivals.get(reached);
        if (seen != null) {
          seen.count++;
          seen.lastNanos = timer.nanoTime();
        }
      }
      revision = deployment.revision();
    }

    @Override
    public void learned(long noteRevision, ReleaseNote note) {
      if (push) {
        for (Member peer : peers()) {
          pushes++;
          timer.after(ONE_WAY, () -> peer.follower.offer(noteRevision, note));
        }
      }
    }

    private CompletionStage<List<CatchUp>> askPeers(long applied) {
      CompletableFuture<List<CatchUp>> answer = new CompletableFuture<>();
      timer.after(
          ONE_WAY,
          () -> {
            List<CatchUp> answers = new ArrayList<>();
            for (Member peer : peers()) {
              CatchUp catchUp = peer.follower.catchUpAfter(applied);
              peerAnswers++;
              peerAnswerChars += CatchUpCodec.encode(catchUp).length();
              answers.add(catchUp);
            }
            timer.after(ONE_WAY, () -> answer.complete(answers));
          });
      return answer;
    }

    private List<Member> peers() {
      return members.stream().filter(member -> member != this && member.domain == domain).toList();
    }
  }
}
