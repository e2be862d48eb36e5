/** Follows the platform's list of live and leaving VMs. */
package org.lovagerack.daemon.vmlist;
