/** Benchmarks of dispatch policies and of routing decisions. */
package org.lovagerack.benchmarks;
