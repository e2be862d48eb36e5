/** Durable jobs: what a caller submits, and what is known of it. */
package org.lovagerack.fleet.job;
