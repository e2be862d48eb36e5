package org.lovagerack.notes;

/**
 * A release note: what is added, changed and withdrawn. Each of these that the note leaves out is
 * empty.
 *
 * @param noteId unique identifier chosen by the publisher; makes publishing idempotent
 * @param baseRevision revision that the note was written against; the note becomes the next one
 * @param added definitions that must not exist yet
 * @param changed definitions that must exist
 * @param withdrawn names that must exist
 */
public record ReleaseNote(
    String noteId, long baseRevision, ChangeSet added, ChangeSet changed, Withdrawals withdrawn) {}
