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

/** Simulated entry VMs that follow release notes and push them to peers in their domain. */
final class FollowerGroup {

  /** Number of entry VMs in a full failure domain. */
  static final int DOMAIN_SIZE = 13;

  private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);

  final DrivenTimer timer = new DrivenTimer();
  final CountingPlatform platform = new CountingPlatform(timer);
  private final List<Member> members = new ArrayList<>();
  private final Map<Long, NotePropagation> propagations = new HashMap<>();
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

  /** Adds an entry VM to a failure domain and starts it. */
  void start(int domain) {
    Member member = new Member(domain, members.size());
    members.add(member);
    member.follower.addListener(member);
    member.follower.start();
  }

  /** Stops the most recently added entry VMs and discards their state. */
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

  boolean allReached(long revision) {
    return members.stream().allMatch(member -> member.revision >= revision);
  }

  /** Publishes a note from the first entry VM. */
  void publish(ReleaseNote note) {
    propagations.put(note.baseRevision() + 1, new NotePropagation(timer.nanoTime()));
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

  /** Returns the time from publication until a revision was in force on all entry VMs. */
  Duration propagationTime(long revision) {
    NotePropagation propagation = propagations.get(revision);
    if (propagation.reachedMembers != members.size()) {
      throw new IllegalStateException(
          "revision "
              + revision
              + " is in force on "
              + propagation.reachedMembers
              + " of "
              + members.size());
    }
    return Duration.ofNanos(propagation.lastReachedNanos - propagation.publishedNanos);
  }

  private static final class NotePropagation {
    private final long publishedNanos;
    private long lastReachedNanos;
    private int reachedMembers;

    private NotePropagation(long publishedNanos) {
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
          new NoteFollower(timer, new Random(number), platform, platform, this::requestFromPeers);
    }

    @Override
    public void deployed(Deployment deployment) {
      for (long reachedRevision = revision + 1;
          reachedRevision <= deployment.revision();
          reachedRevision++) {
        NotePropagation propagation = propagations.get(reachedRevision);
        if (propagation != null) {
          propagation.reachedMembers++;
          propagation.lastReachedNanos = timer.nanoTime();
        }
      }
      revision = deployment.revision();
    }

    @Override
    public void noteReceivedFromPlatform(long noteRevision, ReleaseNote note) {
      if (push) {
        for (Member peer : peers()) {
          pushes++;
          timer.after(ONE_WAY_LATENCY, () -> peer.follower.offer(noteRevision, note));
        }
      }
    }

    private CompletionStage<List<CatchUp>> requestFromPeers(long appliedRevision) {
      CompletableFuture<List<CatchUp>> answer = new CompletableFuture<>();
      timer.after(
          ONE_WAY_LATENCY,
          () -> {
            List<CatchUp> answers = new ArrayList<>();
            for (Member peer : peers()) {
              CatchUp catchUp = peer.follower.catchUpAfter(appliedRevision);
              peerAnswers++;
              peerAnswerChars += CatchUpCodec.encode(catchUp).length();
              answers.add(catchUp);
            }
            timer.after(ONE_WAY_LATENCY, () -> answer.complete(answers));
          });
      return answer;
    }

    private List<Member> peers() {
      return members.stream().filter(member -> member != this && member.domain == domain).toList();
    }
  }
}
