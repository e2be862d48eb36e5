/** Coordination components that can be embedded in another program. */
package org.lovagerack.coordination;
