/** Measures how processor time, memory and messages grow with the size of the system. */
package org.lovagerack.benchmarks.capacity;
