/** Submission identifiers, the state of submissions and the lifecycle of jobs. */
package org.lovagerack.submission;
