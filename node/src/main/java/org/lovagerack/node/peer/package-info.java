/** Calls between entry VMs. */
package org.lovagerack.node.peer;
