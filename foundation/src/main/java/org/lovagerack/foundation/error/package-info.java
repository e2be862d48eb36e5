/** The closed list of error kinds and the answer that belongs to each. */
package org.lovagerack.foundation.error;
