/** The transactional store that keeps what must outlive a VM, as the fleet's decisions see it. */
package org.lovagerack.fleet.store;
