/** Metrics and log events of the parts. */
package org.lovagerack.daemon.metrics;
