/** The complete system as separate processes on one machine, and its callers. */
package org.lovagerack.standins.cluster;
