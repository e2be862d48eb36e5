/** Demonstration of the complete system as separate processes on one machine. */
package org.lovagerack.standins.demonstration;
