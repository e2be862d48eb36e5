/** Monotonic time and timer callbacks, with a manually advanced implementation for tests. */
package org.lovagerack.foundation.timer;
