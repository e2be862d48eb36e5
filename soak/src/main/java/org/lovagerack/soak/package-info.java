/**
 * Randomized soak: real entry VM processes behind loopback proxies, with faults of processes,
 * links, store and workers that overlap, while clients go on submitting and the promises are
 * checked.
 */
package org.lovagerack.soak;
