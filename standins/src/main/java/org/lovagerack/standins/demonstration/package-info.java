/** The demonstration run: the whole system as separate processes on one machine. */
package org.lovagerack.standins.demonstration;
