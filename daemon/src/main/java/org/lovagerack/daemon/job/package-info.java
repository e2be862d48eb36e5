/** Calls of callers on jobs, decided here or forwarded to the owner of the submission. */
package org.lovagerack.daemon.job;
