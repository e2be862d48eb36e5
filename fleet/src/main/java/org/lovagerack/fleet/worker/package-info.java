/** Workers: their directory, and the orders that their owner sends them. */
package org.lovagerack.fleet.worker;
