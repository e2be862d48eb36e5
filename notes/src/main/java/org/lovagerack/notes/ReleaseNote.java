package org.lovagerack.notes;

/**
 * A release note: the definitions that are added, changed and withdrawn. Parts that the note omits
 * are empty.
 *
 * @param noteId unique identifier chosen by the publisher; makes publishing idempotent
 * @param baseRevision revision that the note was written for; applying the note produces the next
 *     revision
 * @param added definitions that must not exist yet
 * @param changed definitions that must exist
 * @param withdrawn names that must exist
 */
public record ReleaseNote(
    String noteId, long baseRevision, ChangeSet added, ChangeSet changed, Withdrawals withdrawn) {}
