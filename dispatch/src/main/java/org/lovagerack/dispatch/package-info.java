/** Admission, queueing, routing, limits, retries and ejection. */
package org.lovagerack.dispatch;
