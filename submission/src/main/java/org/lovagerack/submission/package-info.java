/** Submission identifiers, ledger and job lifecycle. */
package org.lovagerack.submission;
