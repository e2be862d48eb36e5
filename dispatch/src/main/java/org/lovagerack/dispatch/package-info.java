/** Admission control, queueing, routing, limits, retries and ejection of upstreams. */
package org.lovagerack.dispatch;
