package org.lovagerack.notes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.LovagerackException;

/** Guards against notes that are applied wrongly or partially, and against mutable deployments. */
final class DeploymentTest {

  private static Deployment base() throws LovagerackException {
    return Deployment.empty()
        .apply(
            Samples.adding(
                "base",
                0,
                List.of(Samples.service("riser"), Samples.service("idle")),
                Samples.upstream(1, 8),
                Samples.upstream(2, 8)));
  }

  @Test
  void listsEveryContradiction() throws LovagerackException {
    UpstreamDefinition withUnknownService =
        new UpstreamDefinition("10.0.0.9:80", "gone", "d", 1, 1);
    ReleaseNote note =
        new ReleaseNote(
            "wrong",
            7,
            new ChangeSet(
                List.of(Samples.service("riser")),
                List.of(Samples.upstream(1, 8), withUnknownService),
                List.of(new TeamQuota("a", 1, 1), new TeamQuota("a", 2, 2))),
            new ChangeSet(List.of(), List.of(Samples.upstream(3, 8)), List.of()),
            new Withdrawals(List.of("idle", "riser"), List.of("10.0.0.4:80"), List.of("b")));

    LovagerackException thrown =
        catchThrowableOfType(LovagerackException.class, () -> base().apply(note));

    assertThat(thrown.failure().kind()).isEqualTo(ErrorKind.NOTE_INVALID);
    assertThat(List.of(thrown.failure().detail().split("; ")))
        .containsExactlyInAnyOrder(
            "$.baseRevision: 7 is not revision 1",
            "$.added.services[0]: riser exists already",
            "$.withdrawn.services[1]: riser is named twice",
            "$.added.upstreams[0]: 10.0.0.1:80 exists already",
            "$.added.upstreams[1].service: gone is not a service",
            "$.added.teams[1]: a is named twice",
            "$.changed.upstreams[0]: 10.0.0.3:80 does not exist",
            "$.withdrawn.upstreams[0]: 10.0.0.4:80 does not exist",
            "$.withdrawn.teams[0]: b does not exist",
            "$.withdrawn.services[1]: riser still has 3 upstreams");
  }

  @Test
  void withdrawsAServiceTogetherWithItsUpstreams() throws LovagerackException {
    Deployment next =
        base()
            .apply(
                Samples.withdrawing(
                    "w", 1, List.of("riser"), List.of("10.0.0.1:80", "10.0.0.2:80")));

    assertThat(next.revision()).isEqualTo(2);
    assertThat(next.services()).containsOnlyKeys("idle");
    assertThat(next.upstreams()).isEmpty();
  }

  @Test
  void collectionsCannotBeChanged() throws LovagerackException {
    Deployment deployment = base();
    assertThatThrownBy(() -> deployment.upstreams().remove("10.0.0.1:80"))
        .isInstanceOf(UnsupportedOperationException.class);
    assertThatThrownBy(() -> deployment.upstreams().values().clear())
        .isInstanceOf(UnsupportedOperationException.class);
    assertThatThrownBy(() -> deployment.upstreams().entrySet().iterator().next().setValue(null))
        .isInstanceOf(UnsupportedOperationException.class);
  }
}
