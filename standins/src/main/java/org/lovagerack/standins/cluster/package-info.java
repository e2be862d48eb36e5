/** The whole system as separate processes on one machine, and callers that use it. */
package org.lovagerack.standins.cluster;
