package org.lovagerack.notes;

/**
 * An accepted release note.
 *
 * @param revision revision at which it is in force
 * @param repeated whether the note was already accepted before this call
 */
public record Publication(long revision, boolean repeated) {}
