/** Requests of callers for jobs, handled locally or forwarded to the owner of the submission. */
package org.lovagerack.daemon.job;
