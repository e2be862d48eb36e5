/** Metrics and log events of the dispatcher and of jobs. */
package org.lovagerack.daemon.metrics;
