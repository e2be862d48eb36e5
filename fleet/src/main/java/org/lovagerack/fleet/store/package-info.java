/**
 * Interface to the transactional store, which holds the state that must survive the loss of a VM.
 */
package org.lovagerack.fleet.store;
