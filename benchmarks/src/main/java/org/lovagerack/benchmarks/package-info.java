/** Policy comparison and capacity slopes. */
package org.lovagerack.benchmarks;
