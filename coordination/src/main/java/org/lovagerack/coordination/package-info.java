/** Coordination parts for embedding. */
package org.lovagerack.coordination;
