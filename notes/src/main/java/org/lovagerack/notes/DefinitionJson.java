package org.lovagerack.notes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Collection;
import java.util.function.Function;
import org.lovagerack.foundation.error.LovagerackException;

/** JSON form of service, upstream and team definitions, shared by notes and deployments. */
final class DefinitionJson {

  static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final double DEFAULT_RETRY_BUDGET = 0.1;
  private static final int DEFAULT_MAX_ATTEMPTS = 3;
  private static final int MAX_ATTEMPTS = 100;
  private static final int MAX_QUEUED_TASKS = 10_000_000;
  private static final long MAX_RUN_TIME_MILLIS = Duration.ofHours(1).toMillis();
  private static final int MIN_ERROR_STATUS = 400;
  private static final int MAX_ERROR_STATUS = 599;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_CONNECTIONS = 100_000;

  private DefinitionJson() {}

  /** Reads a document that is one object. */
  static <T> T readDocument(String json, Function<JsonFields, T> reader)
      throws LovagerackException {
    Problems problems = new Problems();
    T value = null;
    try {
      JsonNode node = MAPPER.readTree(json);
      JsonFields fields = new JsonFields(node, "$", problems);
      value = reader.apply(fields);
      fields.rejectUnknownFields();
    } catch (JsonProcessingException e) {
      problems.add("$", "is not JSON: " + e.getOriginalMessage() + " at " + position(e));
    }
    problems.throwIfAny();
    return value;
  }

  private static String position(JsonProcessingException e) {
    return e.getLocation() == null
        ? "an unknown position"
        : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
  }

  static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree could not be written", e);
    }
  }

  static ChangeSet readChanges(JsonFields fields) {
    return new ChangeSet(
        fields.objects("services", DefinitionJson::readService),
        fields.objects("upstreams", DefinitionJson::readUpstream),
        fields.objects("teams", DefinitionJson::readTeam));
  }

  static void writeChanges(
      ObjectNode target,
      Collection<ServiceDefinition> services,
      Collection<UpstreamDefinition> upstreams,
      Collection<TeamQuota> teams) {
    ArrayNode serviceNodes = target.putArray("services");
    services.forEach(service -> writeService(serviceNodes.addObject(), service));
    ArrayNode upstreamNodes = target.putArray("upstreams");
    upstreams.forEach(upstream -> writeUpstream(upstreamNodes.addObject(), upstream));
    ArrayNode teamNodes = target.putArray("teams");
    teams.forEach(team -> writeTeam(teamNodes.addObject(), team));
  }

  private static ServiceDefinition readService(JsonFields fields) {
    return new ServiceDefinition(
        fields.name("name"),
        fields.urlPath("path"),
        fields.fraction("messageWeight"),
        fields.fraction("retryBudget", DEFAULT_RETRY_BUDGET),
        (int) fields.integer("maxAttempts", 1, MAX_ATTEMPTS, DEFAULT_MAX_ATTEMPTS),
        (int) fields.integer("maxQueuedTasks", 1, MAX_QUEUED_TASKS),
        Duration.ofMillis(fields.integer("maxRunTimeMillis", 1, MAX_RUN_TIME_MILLIS)),
        fields.integers("notStartedStatuses", MIN_ERROR_STATUS, MAX_ERROR_STATUS),
        fields.fractionExclusive("objective"));
  }

  private static void writeService(ObjectNode target, ServiceDefinition service) {
    target
        .put("name", service.name())
        .put("path", service.path())
        .put("messageWeight", service.messageWeight())
        .put("retryBudget", service.retryBudget())
        .put("maxAttempts", service.maxAttempts())
        .put("maxQueuedTasks", service.maxQueuedTasks())
        .put("maxRunTimeMillis", service.maxRunTime().toMillis());
    ArrayNode statuses = target.putArray("notStartedStatuses");
    service.notStartedStatuses().stream().sorted().forEach(statuses::add);
    target.put("objective", service.objective());
  }

  private static UpstreamDefinition readUpstream(JsonFields fields) {
    return new UpstreamDefinition(
        fields.address("address"),
        fields.name("service"),
        fields.name("failureDomain"),
        (int) fields.integer("slots", 1, MAX_SLOTS),
        (int) fields.integer("connections", 1, MAX_CONNECTIONS));
  }

  private static void writeUpstream(ObjectNode target, UpstreamDefinition upstream) {
    target
        .put("address", upstream.address())
        .put("service", upstream.service())
        .put("failureDomain", upstream.failureDomain())
        .put("slots", upstream.slots())
        .put("connections", upstream.connections());
  }

  private static TeamQuota readTeam(JsonFields fields) {
    return new TeamQuota(
        fields.name("team"),
        (int) fields.integer("maxTasksInSystem", 0, Integer.MAX_VALUE),
        (int) fields.integer("startsPerSecond", 0, Integer.MAX_VALUE));
  }

  private static void writeTeam(ObjectNode target, TeamQuota team) {
    target
        .put("team", team.team())
        .put("maxTasksInSystem", team.maxTasksInSystem())
        .put("startsPerSecond", team.startsPerSecond());
  }
}
